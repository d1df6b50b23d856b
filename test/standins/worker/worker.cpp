// The worker's protocol and its tasks.

#include "worker.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <chrono>

namespace coltsfootrack::standins
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_known_tokens = 100000;
constexpr std::size_t max_events = 10000;
constexpr std::chrono::milliseconds event_retry{500};

base::resources resources_of(const json& value)
{
    return {value.value("cpu_milli", std::int64_t{0}),
            value.value("memory_mb", std::int64_t{0}),
            value.value("accelerators", std::int64_t{0})};
}

json to_json(const base::resources& value)
{
    return {{"cpu_milli", value.cpu_milli},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
}

std::int64_t scaled(std::int64_t value, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(value) * factor);
}

} // namespace

worker::worker(event_loop& loop, event_sender& sender, std::string name,
               const base::resources& capacity)
    : loop_(loop)
    , sender_(sender)
    , name_(std::move(name))
    , capacity_(capacity)
    , settings_({{"down", false},
                 {"fail_all", false},
                 {"fail_after_ms", 50},
                 {"duration_factor", 1.0},
                 {"size_factor", 1.0},
                 {"stop_ms", 20},
                 {"usage_lag_ms", 5000},
                 {"answer_delay_ms", 0}})
{
}

void worker::handle(const std::shared_ptr<exchange>& current)
{
    const http::request& message = current->message;
    const bool is_control = message.path.rfind("/control/", 0) == 0;
    if (!is_control && settings_["down"].get<bool>())
    {
        current->reset();
        return;
    }
    const json body = message.body.empty()
                          ? json::object()
                          : json::parse(message.body, nullptr, false);
    answer result{404, {{"error", "not_found"}}};
    if (!body.is_object())
    {
        result = {400, {{"error", "invalid_request"}}};
    }
    else if (is_control)
    {
        result = control(message, body);
    }
    else if (message.path == "/v1/adopt")
    {
        result = adopt(body);
    }
    else if (message.path == "/v1/sync")
    {
        result = sync(body);
    }
    const http::response answer =
        http::json_response(result.status, result.body);
    const auto delay = settings_["answer_delay_ms"].get<std::int64_t>();
    if (is_control || delay == 0)
    {
        current->answer(answer);
        return;
    }
    loop_.after(std::chrono::milliseconds(delay),
                [current, answer] { current->answer(answer); });
}

worker::answer worker::adopt(const json& body)
{
    const auto epoch = body.at("epoch").get<std::int64_t>();
    if (epoch < epoch_)
    {
        history_.add("refused_epoch", {{"worker", name_}, {"epoch", epoch}});
        return {409, {{"epoch", epoch_}}};
    }
    epoch_ = epoch;
    owner_ = body.at("owner").get<std::string>();
    adopted_ = true;
    renew_lease(body.at("lease_ms").get<std::int64_t>());
    history_.add("adopted", {{"worker", name_},
                             {"epoch", epoch},
                             {"daemon", body.value("daemon", "")}});
    json running = json::array();
    for (const auto& [key, entry] : tasks_)
    {
        running.push_back({{"job", key.first},
                           {"index", key.second},
                           {"token", entry.token},
                           {"resources", to_json(entry.declared)},
                           {"team", entry.team},
                           {"exclusive", entry.exclusive}});
    }
    send_events();
    return {200,
            {{"epoch", epoch_},
             {"capacity", to_json(capacity_)},
             {"running", std::move(running)}}};
}

worker::answer worker::sync(const json& body)
{
    const auto epoch = body.at("epoch").get<std::int64_t>();
    if (epoch < epoch_)
    {
        history_.add("refused_epoch", {{"worker", name_}, {"epoch", epoch}});
        return {409, {{"epoch", epoch_}}};
    }
    if (epoch > epoch_ || !adopted_)
    {
        return {410, {{"epoch", epoch_}}};
    }
    renew_lease(body.at("lease_ms").get<std::int64_t>());
    json results = json::array();
    for (const json& command : body.value("commands", json::array()))
    {
        results.push_back({{"job", command.at("job")},
                           {"index", command.at("index")},
                           {"token", command.at("token")},
                           {"status", execute(command)}});
    }
    return {200,
            {{"epoch", epoch_},
             {"results", std::move(results)},
             {"running", tasks_.size()},
             {"usage", usage()}}};
}

std::string worker::execute(const json& command)
{
    const auto type = command.at("type").get<std::string>();
    const task_key key(command.at("job").get<std::string>(),
                       command.at("index").get<std::uint32_t>());
    if (type == "start")
    {
        return start(key, command);
    }
    const auto found = tasks_.find(key);
    if (found == tasks_.end() || found->second.token != command.at("token"))
    {
        return "unknown";
    }
    if (type == "stop")
    {
        return stop(key, command);
    }
    if (type == "checkpoint")
    {
        record("checkpointed", key, found->second);
        return "checkpointed";
    }
    if (type == "throttle")
    {
        found->second.throttled = true;
        record("throttled", key, found->second);
        return "throttled";
    }
    return "refused";
}

std::string worker::start(const task_key& key, const json& command)
{
    const auto token = command.at("token").get<std::string>();
    const auto known = known_tokens_.find(token);
    if (known != known_tokens_.end())
    {
        return known->second;
    }
    task entry;
    entry.token = token;
    entry.team = command.value("team", "");
    entry.exclusive = command.value("exclusive", false);
    entry.declared = resources_of(command.at("resources"));
    entry.started_ms = now_ms();
    entry.run = ++runs_;
    const json real =
        jobs_.count(key.first) > 0 ? jobs_[key.first] : json::object();
    const auto size = settings_["size_factor"].get<double>();
    entry.real = {
        real.value("cpu_milli", scaled(entry.declared.cpu_milli, size)),
        real.value("memory_mb", scaled(entry.declared.memory_mb, size)),
        entry.declared.accelerators};
    if (tasks_.count(key) > 0)
    {
        record("refused_running", key, entry);
        return "refused";
    }
    if (!(in_use() + entry.declared).fits_in(capacity_))
    {
        record("over_capacity", key, entry);
        return "refused";
    }
    if (known_tokens_.size() < max_known_tokens)
    {
        known_tokens_[token] = "started";
    }
    tasks_[key] = entry;
    record("started", key, entry);
    const auto run_ms = command.value("run_ms", std::int64_t{0});
    const auto duration =
        real.value("duration_ms",
                   scaled(run_ms, settings_["duration_factor"].get<double>()));
    if (settings_["fail_all"].get<bool>())
    {
        end_after(key, entry.run,
                  settings_["fail_after_ms"].get<std::int64_t>(), "failed",
                  "the worker fails all tasks");
    }
    else if (duration > 0)
    {
        // Without a duration the task is a service and runs until stopped.
        end_after(key, entry.run, duration, "finished", "");
    }
    return "started";
}

std::string worker::stop(const task_key& key, const json& command)
{
    const auto delay = std::min(settings_["stop_ms"].get<std::int64_t>(),
                                command.value("grace_ms", std::int64_t{0}));
    end_after(key, tasks_[key].run, delay, "stopped", "stopped by the owner");
    return "stopping";
}

void worker::end_after(const task_key& key, std::uint64_t run,
                       std::int64_t delay, const std::string& outcome,
                       const std::string& reason)
{
    loop_.after(std::chrono::milliseconds(delay),
                [this, key, run, outcome, reason]
                {
                    const auto found = tasks_.find(key);
                    if (found != tasks_.end() && found->second.run == run)
                    {
                        end(key, outcome, reason);
                        send_events();
                    }
                });
}

void worker::end(const task_key& key, const std::string& outcome,
                 const std::string& reason)
{
    const task entry = tasks_[key];
    tasks_.erase(key);
    known_tokens_[entry.token] = outcome;
    record(outcome, key, entry);
    if (events_.size() < max_events)
    {
        events_.push_back({{"job", key.first},
                           {"index", key.second},
                           {"token", entry.token},
                           {"outcome", outcome},
                           {"reason", reason}});
    }
}

void worker::renew_lease(std::int64_t lease_ms)
{
    const std::uint64_t number = ++lease_number_;
    loop_.after(std::chrono::milliseconds(lease_ms),
                [this, number]
                {
                    if (number == lease_number_ && adopted_)
                    {
                        lapse();
                    }
                });
}

// Ends all tasks; their ends are reported to whoever adopts the worker next.
void worker::lapse()
{
    adopted_ = false;
    history_.add("lapsed", {{"worker", name_}, {"epoch", epoch_}});
    while (!tasks_.empty())
    {
        const task_key key = tasks_.begin()->first;
        end(key, "stopped", "the worker lease ended");
    }
}

void worker::fail_vm()
{
    for (const auto& [key, entry] : tasks_)
    {
        record("lost", key, entry);
    }
    tasks_.clear();
    events_ = json::array();
    adopted_ = false;
    ++lease_number_;
}

void worker::send_events()
{
    if (sending_ || events_.empty() || !adopted_)
    {
        return;
    }
    sending_ = true;
    http::request message;
    message.method = "POST";
    message.path = "/v1/worker-events";
    message.headers.add("Content-Type", "application/json");
    message.body =
        json({{"worker", name_}, {"epoch", epoch_}, {"events", events_}})
            .dump();
    sender_.send(owner_, std::move(message),
                 [this, sent = events_](bool accepted)
                 {
                     sending_ = false;
                     if (!accepted)
                     {
                         loop_.after(event_retry, [this] { send_events(); });
                         return;
                     }
                     // More events may have been added meanwhile.
                     json rest = json::array();
                     for (const json& event : events_)
                     {
                         if (std::find(sent.begin(), sent.end(), event) ==
                             sent.end())
                         {
                             rest.push_back(event);
                         }
                     }
                     events_ = std::move(rest);
                     send_events();
                 });
}

void worker::record(const std::string& fact, const task_key& key,
                    const task& entry)
{
    history_.add(fact, {{"worker", name_},
                        {"job", key.first},
                        {"index", key.second},
                        {"token", entry.token},
                        {"team", entry.team},
                        {"exclusive", entry.exclusive},
                        {"resources", to_json(entry.declared)},
                        {"epoch", epoch_}});
}

base::resources worker::in_use() const
{
    base::resources total;
    for (const auto& [key, entry] : tasks_)
    {
        total += entry.declared;
    }
    return total;
}

json worker::usage() const
{
    json list = json::array();
    const std::int64_t visible =
        now_ms() - settings_["usage_lag_ms"].get<std::int64_t>();
    for (const auto& [key, entry] : tasks_)
    {
        if (entry.started_ms <= visible)
        {
            list.push_back(
                {{"job", key.first},
                 {"index", key.second},
                 {"cpu_milli", entry.throttled ? entry.real.cpu_milli / 2
                                               : entry.real.cpu_milli},
                 {"memory_mb", entry.real.memory_mb}});
        }
    }
    return list;
}

worker::answer worker::control(const http::request& message, const json& body)
{
    if (message.path == "/control/settings")
    {
        set(body);
        return {200, settings_};
    }
    if (message.path == "/control/job")
    {
        set_job(body);
        return {200, json::object()};
    }
    if (message.path == "/control/history")
    {
        return {200,
                {{"facts", history_.facts()}, {"dropped", history_.dropped()}}};
    }
    if (message.path == "/control/state")
    {
        return {200, state()};
    }
    return {404, {{"error", "not_found"}}};
}

void worker::set(const json& settings)
{
    const bool was_down = settings_["down"].get<bool>();
    settings_.update(settings);
    if (!was_down && settings_["down"].get<bool>())
    {
        fail_vm();
    }
}

void worker::set_job(const json& values)
{
    jobs_[values.at("job").get<std::string>()] = values;
}

const history& worker::facts() const
{
    return history_;
}

json worker::state() const
{
    return {{"worker", name_},          {"epoch", epoch_},
            {"owner", owner_},          {"adopted", adopted_},
            {"running", tasks_.size()}, {"in_use", to_json(in_use())},
            {"events", events_.size()}};
}

} // namespace coltsfootrack::standins
