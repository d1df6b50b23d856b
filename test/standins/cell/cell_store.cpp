// The store of the cell stand-in.

#include "cell_store.hpp"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace coltsfootrack::standins
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

http::response reply(int status, const json& body)
{
    http::response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "application/json");
    answer.body = body.dump();
    return answer;
}

std::string query_argument(const http::request& request,
                           const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

} // namespace

cell_store::cell_store(event_loop& loop, std::uint64_t seed)
    : loop_(loop)
    , random_(seed)
    , start_(std::chrono::steady_clock::now())
{
}

milliseconds cell_store::now() const
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start_);
}

void cell_store::set_faults(int port, const faults& value)
{
    faults_[port] = value;
}

void cell_store::compact()
{
    compacted_version_ = version_;
    for (const auto& pending : feed_calls_)
    {
        if (!pending->done)
        {
            pending->done = true;
            pending->call->answer(reply(410, {}));
        }
    }
    feed_calls_.clear();
}

json cell_store::row_json(const row_key& key, const row& value) const
{
    json out = {{"table", std::get<0>(key)},
                {"part", std::get<1>(key)},
                {"key", std::get<2>(key)},
                {"ver", value.version}};
    if (value.deleted)
    {
        out["deleted"] = true;
    }
    else
    {
        out["value"] = absl::Base64Escape(value.value);
    }
    return out;
}

void cell_store::write(const std::string& table, const std::string& key,
                       const std::string& value)
{
    rows_[{table, "", key}] = {value, ++version_, false};
    answer_feeds();
}

void cell_store::remove(const std::string& table, const std::string& key)
{
    const auto found = rows_.find({table, "", key});
    if (found != rows_.end() && !found->second.deleted)
    {
        found->second = {"", ++version_, true};
        answer_feeds();
    }
}

http::response cell_store::transact(const json& body)
{
    const auto key_of = [](const json& in)
    {
        return row_key(in.at("table").get<std::string>(),
                       in.value("part", std::string()),
                       in.at("key").get<std::string>());
    };
    const auto version_of = [this](const row_key& key)
    {
        const auto found = rows_.find(key);
        return found == rows_.end() || found->second.deleted
                   ? std::uint64_t{0}
                   : found->second.version;
    };
    bool holds = true;
    json current = json::array();
    std::string part;
    bool first = true;
    for (const char* list : {"expect_rev", "puts", "remove"})
    {
        for (const json& entry : body.value(list, json::array()))
        {
            const std::string own = entry.value("part", std::string());
            if (!first && own != part)
            {
                return reply(400, {{"error", "more than one part"}});
            }
            part = own;
            first = false;
        }
    }
    for (const json& entry : body.value("expect_rev", json::array()))
    {
        const row_key key = key_of(entry);
        holds =
            holds && version_of(key) == entry.at("ver").get<std::uint64_t>();
        const auto found = rows_.find(key);
        if (version_of(key) != 0)
        {
            current.push_back(row_json(key, found->second));
        }
        else
        {
            json absent = entry;
            absent["ver"] = 0;
            current.push_back(std::move(absent));
        }
    }
    if (!holds)
    {
        return reply(
            412,
            {{"rows", current}, {"ver", version_}, {"now_ms", now().count()}});
    }
    ++version_;
    for (const json& entry : body.value("puts", json::array()))
    {
        std::string value;
        absl::Base64Unescape(entry.at("value").get<std::string>(), &value);
        rows_[key_of(entry)] = {value, version_, false};
    }
    for (const json& entry : body.value("remove", json::array()))
    {
        rows_[key_of(entry)] = {"", version_, true};
    }
    answer_feeds();
    return reply(200, {{"ver", version_}, {"now_ms", now().count()}});
}

http::response cell_store::read_range(const http::request& request) const
{
    const std::string table = query_argument(request, "table");
    const std::string part = query_argument(request, "part");
    const std::string target = query_argument(request, "target");
    const std::string limit_text = query_argument(request, "limit");
    const std::size_t limit = limit_text.empty() ? 500 : std::stoul(limit_text);
    json rows = json::array();
    bool more = false;
    for (auto it =
             rows_.lower_bound({table, part, query_argument(request, "from")});
         it != rows_.end(); ++it)
    {
        const auto& [own_table, own_part, key] = it->first;
        if (own_table != table || own_part != part ||
            (!target.empty() && key >= target))
        {
            break;
        }
        if (it->second.deleted)
        {
            continue;
        }
        if (rows.size() == limit)
        {
            more = true;
            break;
        }
        rows.push_back(row_json(it->first, it->second));
    }
    return reply(200, {{"rows", rows},
                       {"has_more", more},
                       {"ver", version_},
                       {"now_ms", now().count()}});
}

json cell_store::changes(const std::string& table, std::uint64_t after) const
{
    std::vector<json> rows;
    for (const auto& [key, value] : rows_)
    {
        if (std::get<0>(key) == table && value.version > after)
        {
            rows.push_back(row_json(key, value));
        }
    }
    std::sort(rows.begin(), rows.end(),
              [](const json& a, const json& b)
              { return a.at("ver") < b.at("ver"); });
    return rows;
}

void cell_store::follow_feed(int port, const std::shared_ptr<exchange>& call)
{
    auto pending = std::make_shared<feed_call>();
    pending->table = query_argument(call->message, "table");
    pending->after = std::stoull(query_argument(call->message, "after"));
    pending->call = call;
    pending->delay = faults_[port].delay;
    if (pending->after < compacted_version_)
    {
        call->answer(reply(410, {}));
        return;
    }
    feed_calls_.push_back(pending);
    answer_feeds();
    const std::string wait = query_argument(call->message, "wait_ms");
    loop_.after(milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                [this, pending]
                {
                    if (!pending->done)
                    {
                        pending->done = true;
                        pending->call->answer(
                            reply(200, {{"rows", json::array()},
                                        {"ver", version_},
                                        {"now_ms", now().count()}}));
                    }
                });
}

void cell_store::answer_feeds()
{
    for (const auto& pending : feed_calls_)
    {
        if (pending->done)
        {
            continue;
        }
        json rows = changes(pending->table, pending->after);
        if (rows.empty())
        {
            continue;
        }
        pending->done = true;
        loop_.after(pending->delay,
                    [call = pending->call,
                     answer = reply(200, {{"rows", std::move(rows)},
                                          {"ver", version_},
                                          {"now_ms", now().count()}})]
                    { call->answer(answer); });
    }
    feed_calls_.erase(std::remove_if(feed_calls_.begin(), feed_calls_.end(),
                                     [](const auto& pending)
                                     { return pending->done; }),
                      feed_calls_.end());
}

void cell_store::handle(int port, const std::shared_ptr<exchange>& call)
{
    const faults fault = faults_[port];
    const std::string& path = call->message.path;
    if (fault.busy)
    {
        call->answer(reply(503, {}));
        return;
    }
    if (path == "/-/rows-feed")
    {
        follow_feed(port, call);
        return;
    }
    const auto answer_later = [this, call, fault](http::response answer)
    {
        loop_.after(fault.delay, [call, answer = std::move(answer)]
                    { call->answer(answer); });
    };
    if (path == "/-/rows-get")
    {
        answer_later(read_range(call->message));
        return;
    }
    if (path != "/-/rows-tx")
    {
        call->answer(reply(404, {}));
        return;
    }
    const json body = json::parse(call->message.body, nullptr, false);
    if (!body.is_object())
    {
        call->answer(reply(400, {}));
        return;
    }
    const int random_percent = static_cast<int>(random_() % 100);
    if (random_percent < fault.lost_percent)
    {
        // Takes effect without an answer: the call stays open.
        transact(body);
        return;
    }
    if (random_percent < fault.lost_percent + fault.late_percent)
    {
        loop_.after(fault.late_by, [this, body] { transact(body); });
        return;
    }
    answer_later(transact(body));
}

} // namespace coltsfootrack::standins
