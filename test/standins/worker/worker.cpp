// The worker stand-in; its protocol is section 3.10 of docs/design.md.

#include "worker.hpp"

#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <ctime>

namespace coltsfootrack::standins
{
namespace
{

constexpr std::chrono::milliseconds event_interval{500};
constexpr std::chrono::milliseconds lease_check_interval{100};
// The run_ms of a service task, which runs until it is stopped.
constexpr std::int64_t unlimited_ms = 0;

std::int64_t monotonic_ms()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 +
           time.tv_nsec / 1000000;
}

nlohmann::json scaled(const nlohmann::json& size, int percent)
{
    return {
        {"cpu_milli", size.value("cpu_milli", std::int64_t{0}) * percent / 100},
        {"memory_mb",
         size.value("memory_mb", std::int64_t{0}) * percent / 100}};
}

} // namespace

worker::worker(event_loop& loop, event_sender& sender, std::string name)
    : loop_(loop)
    , sender_(sender)
    , name_(std::move(name))
    , faults_({{"cut", false},
               {"fail_all", false},
               {"run_factor", 100},
               {"usage_percent", 100}})
{
    loop_.every(lease_check_interval, [this] { check_lease(); });
    loop_.every(event_interval, [this] { send_events(); });
}

void worker::handle(const std::shared_ptr<exchange>& current)
{
    const http::request& message = current->message;
    const auto body = message.body.empty()
                          ? nlohmann::json::object()
                          : nlohmann::json::parse(message.body);
    if (message.path == "/control/history")
    {
        current->answer(http::json_response(200, {{"history", history_}}));
        return;
    }
    if (message.path == "/control/faults")
    {
        faults_.update(body);
        current->answer(http::json_response(200, faults_));
        return;
    }
    if (faults_.value("cut", false))
    {
        current->reset();
        return;
    }
    // The lease may have lapsed while the worker was paused.
    check_lease();
    if (message.path == "/v1/adopt")
    {
        adopt(*current, body);
    }
    else if (message.path == "/v1/sync")
    {
        sync(*current, body);
    }
    else
    {
        current->answer(http::json_response(404, {{"error", "not_found"}}));
    }
}

bool worker::lease_valid() const
{
    return event_loop::clock::now() < lease_end_;
}

bool worker::renew_lease(const nlohmann::json& body)
{
    // The lease runs from the earlier answer that the owner names, so that a
    // delayed renewal does not extend it.
    const auto left_ms = body.at("answered_at_ms").get<std::int64_t>() +
                         body.at("lease_ms").get<std::int64_t>() -
                         monotonic_ms();
    if (left_ms <= 0)
    {
        return false;
    }
    lease_end_ = std::max(lease_end_, event_loop::clock::now() +
                                          std::chrono::milliseconds(left_ms));
    return true;
}

void worker::check_lease()
{
    if (lease_valid())
    {
        return;
    }
    while (!tasks_.empty())
    {
        const std::string token = tasks_.begin()->first;
        end_task(token, "stopped", "lease ended");
    }
}

void worker::adopt(exchange& current, const nlohmann::json& body)
{
    const auto epoch = body.at("epoch").get<std::uint64_t>();
    if (epoch < epoch_)
    {
        current.answer(http::json_response(409, {{"epoch", epoch_}}));
        return;
    }
    epoch_ = epoch;
    owner_ = body.at("owner").get<std::string>();
    auto running = nlohmann::json::array();
    for (const auto& [token, task] : tasks_)
    {
        running.push_back(
            {{"job", task.command.at("job")},
             {"index", task.command.at("index")},
             {"token", token},
             {"team", task.command.value("team", "")},
             {"resources", task.command.at("resources")},
             {"exclusive", task.command.value("exclusive", false)}});
    }
    current.answer(http::json_response(200, {{"epoch", epoch_},
                                             {"answered_at_ms", monotonic_ms()},
                                             {"running", running}}));
}

void worker::sync(exchange& current, const nlohmann::json& body)
{
    const auto epoch = body.at("epoch").get<std::uint64_t>();
    if (epoch < epoch_)
    {
        current.answer(http::json_response(409, {{"epoch", epoch_}}));
        return;
    }
    if (epoch > epoch_ || !renew_lease(body))
    {
        current.answer(http::json_response(410, {{"epoch", epoch_}}));
        return;
    }
    auto results = nlohmann::json::array();
    for (const auto& command : body.value("commands", nlohmann::json::array()))
    {
        results.push_back({{"job", command.at("job")},
                           {"index", command.at("index")},
                           {"token", command.at("token")},
                           {"status", execute(command)}});
    }
    auto usage = nlohmann::json::array();
    const int percent = faults_.value("usage_percent", 100);
    if (percent != 100)
    {
        for (const auto& [token, task] : tasks_)
        {
            nlohmann::json entry =
                scaled(task.command.at("resources"), percent);
            entry["job"] = task.command.at("job");
            entry["index"] = task.command.at("index");
            entry["token"] = token;
            usage.push_back(std::move(entry));
        }
    }
    current.answer(http::json_response(200, {{"epoch", epoch_},
                                             {"answered_at_ms", monotonic_ms()},
                                             {"results", results},
                                             {"running", tasks_.size()},
                                             {"usage", usage}}));
}

std::string worker::execute(const nlohmann::json& command)
{
    const auto type = command.at("type").get<std::string>();
    if (type == "start")
    {
        return start(command);
    }
    if (type == "stop")
    {
        return stop(command);
    }
    return tasks_.count(command.at("token").get<std::string>()) != 0
               ? "done"
               : "unknown";
}

std::string worker::start(const nlohmann::json& command)
{
    const auto token = command.at("token").get<std::string>();
    if (!known_tokens_.emplace(token, true).second)
    {
        return tasks_.count(token) != 0 ? "running" : "ended";
    }
    const std::uint64_t number = ++last_number_;
    tasks_[token] = {command, number, false};
    record("started", command, "");
    if (faults_.value("fail_all", false))
    {
        end_task(token, "failed", "worker fault");
        return "ended";
    }
    const auto run_ms = command.value("run_ms", unlimited_ms) *
                        faults_.value("run_factor", 100) / 100;
    if (run_ms > unlimited_ms)
    {
        loop_.after(std::chrono::milliseconds(run_ms),
                    [this, token, number]
                    {
                        const auto found = tasks_.find(token);
                        if (found != tasks_.end() &&
                            found->second.number == number)
                        {
                            end_task(token, "finished", "");
                        }
                    });
    }
    return "started";
}

std::string worker::stop(const nlohmann::json& command)
{
    const auto token = command.at("token").get<std::string>();
    const auto found = tasks_.find(token);
    if (found == tasks_.end())
    {
        return "ended";
    }
    if (!found->second.stopping)
    {
        found->second.stopping = true;
        const std::uint64_t number = found->second.number;
        const std::int64_t grace = command.value("grace_ms", std::int64_t{0});
        // Writing the checkpoint takes half of the grace period.
        loop_.after(std::chrono::milliseconds(grace / 2),
                    [this, token, number]
                    {
                        const auto task = tasks_.find(token);
                        if (task != tasks_.end() &&
                            task->second.number == number)
                        {
                            end_task(token, "stopped", "stopped by command");
                        }
                    });
    }
    return "stopping";
}

void worker::end_task(const std::string& token, const std::string& outcome,
                      const std::string& reason)
{
    const auto found = tasks_.find(token);
    const nlohmann::json command = found->second.command;
    tasks_.erase(found);
    record("ended", command, outcome + " " + reason);
    events_.push_back({{"job", command.at("job")},
                       {"index", command.at("index")},
                       {"token", token},
                       {"outcome", outcome},
                       {"reason", reason}});
    send_events();
}

void worker::send_events()
{
    if (sending_ || events_.empty() || owner_.empty() ||
        faults_.value("cut", false))
    {
        return;
    }
    sending_ = true;
    const std::size_t count = events_.size();
    const nlohmann::json body = {
        {"worker", name_}, {"epoch", epoch_}, {"events", events_}};
    sender_.send(owner_, body.dump(),
                 [this, count](bool accepted)
                 {
                     sending_ = false;
                     if (accepted)
                     {
                         events_.erase(events_.begin(),
                                       events_.begin() +
                                           static_cast<std::ptrdiff_t>(count));
                     }
                 });
}

void worker::record(const char* event, const nlohmann::json& command,
                    const std::string& reason)
{
    history_.push_back({{"at_ms", monotonic_ms()},
                        {"event", event},
                        {"reason", reason},
                        {"job", command.at("job")},
                        {"index", command.at("index")},
                        {"token", command.at("token")},
                        {"team", command.value("team", "")},
                        {"exclusive", command.value("exclusive", false)},
                        {"resources", command.at("resources")}});
}

} // namespace coltsfootrack::standins
