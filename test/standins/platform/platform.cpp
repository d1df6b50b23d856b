// The platform's endpoints and their faults.

#include "platform.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <fmt/core.h>

#include <chrono>

namespace coltsfootrack::standins
{
namespace
{

constexpr std::size_t max_commit_bytes = std::size_t{1} << 20U;
constexpr std::size_t counted_seconds = 600;
constexpr std::size_t max_objects = 10000;
const std::string object_path = "/v1/objects/";

nlohmann::json no_faults()
{
    return {{"down", false},     {"refuse", false}, {"slow_ms", 0},
            {"lose_answers", 0}, {"lose_every", 0}, {"delay_commits", 0},
            {"delay_ms", 0}};
}

std::chrono::milliseconds duration_of(const nlohmann::json& faults,
                                      const char* name)
{
    return std::chrono::milliseconds(faults[name].get<std::int64_t>());
}

// Uses up one occurrence of a counted fault; returns whether there was one.
bool take_fault(nlohmann::json& faults, const char* name)
{
    const auto left = faults[name].get<std::int64_t>();
    if (left > 0)
    {
        faults[name] = left - 1;
    }
    return left > 0;
}

} // namespace

platform::platform(event_loop& loop)
    : loop_(loop)
    , faults_(no_faults())
{
}

void platform::handle(const std::shared_ptr<exchange>& current)
{
    const http::request& message = current->message;
    if (message.path.rfind("/control/", 0) == 0)
    {
        handle_control(*current);
        return;
    }
    this_second().bytes_in += message.body.size();
    total_.bytes_in += message.body.size();
    if (faults_["down"].get<bool>())
    {
        current->reset();
    }
    else if (faults_["refuse"].get<bool>())
    {
        reply(current, 503, {{"error", "store_unavailable"}});
    }
    else if (message.path == "/v1/table/commit" && message.method == "POST")
    {
        handle_commit(current);
    }
    else if (message.path == "/v1/table/read" && message.method == "POST")
    {
        ++total_.reads;
        ++this_second().reads;
        const auto result =
            table_.read(nlohmann::json::parse(message.body, nullptr, false));
        reply(current, result.status, result.body);
    }
    else if (message.path == "/v1/vms" && message.method == "GET")
    {
        ++total_.reads;
        ++this_second().reads;
        handle_vms(current);
    }
    else if (message.path.rfind(object_path, 0) == 0)
    {
        handle_object(current);
    }
    else
    {
        reply(current, 404, {{"error", "not_found"}});
    }
}

void platform::handle_commit(const std::shared_ptr<exchange>& current)
{
    if (current->message.body.size() > max_commit_bytes)
    {
        reply(current, 413, {{"error", "body_too_large"}});
        return;
    }
    const auto body =
        nlohmann::json::parse(current->message.body, nullptr, false);
    ++commit_count_;
    const auto apply = [this, body]
    {
        table::result result = table_.commit(body);
        ++total_.commits;
        ++this_second().commits;
        if (result.status == 200)
        {
            total_.rows_written += body["writes"].size();
            this_second().rows_written += body["writes"].size();
        }
        return result;
    };
    if (take_fault(faults_, "delay_commits"))
    {
        loop_.after(duration_of(faults_, "delay_ms"),
                    [current, apply]
                    {
                        apply();
                        current->reset();
                    });
        return;
    }
    const table::result result = apply();
    const auto every = faults_["lose_every"].get<std::uint64_t>();
    if (take_fault(faults_, "lose_answers") ||
        (every > 0 && commit_count_ % every == 0))
    {
        current->reset();
        return;
    }
    reply(current, result.status, result.body);
}

void platform::handle_vms(const std::shared_ptr<exchange>& current)
{
    const std::string tag = fmt::format("\"{}\"", vms_version_);
    const bool known = current->message.headers.value("If-None-Match") == tag;
    reply(current, known ? 304 : 200,
          known ? nlohmann::json() : nlohmann::json({{"vms", vms_}}), tag);
}

void platform::handle_object(const std::shared_ptr<exchange>& current)
{
    const std::string name = current->message.path.substr(object_path.size());
    if (current->message.method == "PUT")
    {
        if (objects_.size() >= max_objects && objects_.count(name) == 0)
        {
            reply(current, 507, {{"error", "full"}});
            return;
        }
        objects_[name] = current->message.body;
        reply(current, 200, nlohmann::json::object());
        return;
    }
    const auto found = objects_.find(name);
    if (found == objects_.end())
    {
        reply(current, 404, {{"error", "not_found"}});
        return;
    }
    http::response answer;
    answer.body = found->second;
    current->answer(std::move(answer));
}

void platform::reply(const std::shared_ptr<exchange>& current, int status,
                     const nlohmann::json& body, const std::string& tag)
{
    http::response answer = http::json_response(status, body);
    if (status == 304)
    {
        answer.body.clear();
    }
    if (!tag.empty())
    {
        answer.headers.add("ETag", tag);
    }
    total_.bytes_out += answer.body.size();
    this_second().bytes_out += answer.body.size();
    const auto delay = duration_of(faults_, "slow_ms");
    if (delay.count() == 0)
    {
        current->answer(std::move(answer));
        return;
    }
    loop_.after(delay, [current, answer = std::move(answer)]
                { current->answer(answer); });
}

void platform::handle_control(exchange& current)
{
    const http::request& message = current.message;
    const auto body = message.body.empty()
                          ? nlohmann::json::object()
                          : nlohmann::json::parse(message.body, nullptr, false);
    const bool get = message.method == "GET";
    nlohmann::json answer = nlohmann::json::object();
    int status = 200;
    if (!body.is_object())
    {
        status = 400;
    }
    else if (message.path == "/control/faults")
    {
        if (!get)
        {
            faults_.update(body);
        }
        answer = faults_;
    }
    else if (message.path == "/control/vms" && !get)
    {
        set_vms(body);
    }
    else if (message.path == "/control/history")
    {
        if (get)
        {
            answer["commits"] = table_.history();
        }
        else
        {
            table_.record(body.value("record", false));
        }
    }
    else if (message.path == "/control/counts" && get)
    {
        answer = counts();
    }
    else
    {
        status = 404;
    }
    current.answer(http::json_response(status, answer));
}

void platform::set_vms(const nlohmann::json& body)
{
    const std::chrono::milliseconds lag(body.value("lag_ms", 0));
    const nlohmann::json list = body.value("vms", nlohmann::json::array());
    loop_.after(lag,
                [this, list]
                {
                    vms_ = list;
                    ++vms_version_;
                });
}

platform::second_counts& platform::this_second()
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            event_loop::clock::now() - start_)
                            .count();
    second_counts& counts = seconds_[second];
    if (seconds_.size() > counted_seconds)
    {
        seconds_.erase(seconds_.begin());
    }
    return counts;
}

nlohmann::json platform::counts() const
{
    nlohmann::json seconds = nlohmann::json::array();
    for (const auto& [second, counts] : seconds_)
    {
        seconds.push_back(to_json(counts));
        seconds.back()["second"] = second;
    }
    nlohmann::json answer = to_json(total_);
    answer["sequence"] = table_.sequence();
    answer["seconds"] = std::move(seconds);
    return answer;
}

nlohmann::json platform::to_json(const second_counts& counts)
{
    return {{"commits", counts.commits},
            {"rows_written", counts.rows_written},
            {"reads", counts.reads},
            {"bytes_in", counts.bytes_in},
            {"bytes_out", counts.bytes_out}};
}

} // namespace coltsfootrack::standins
