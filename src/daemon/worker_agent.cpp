// Adoption, lease renewal and commands for the workers of a zone. The rules are
// in sections 3.3 and 3.4 of docs/design.md.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/coordination/timing.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>
#include <coltsfootrack/daemon/worker_agent.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "worker";
constexpr std::chrono::seconds sync_interval{10};
constexpr std::chrono::milliseconds call_timeout{1000};
// A worker that does not answer for this long gets no new task.
constexpr std::chrono::seconds unresponsive_after{5};
constexpr std::chrono::milliseconds initial_back_off{200};
constexpr std::chrono::milliseconds max_back_off{2000};
constexpr std::size_t max_commands_per_call = 64;

running_task read_task(const nlohmann::json& value)
{
    running_task task;
    task.task.job = base::job_id(value.at("job").get<std::string>());
    task.task.index = value.at("index").get<std::uint32_t>();
    task.token = value.value("token", std::string());
    task.team = base::team_id(value.value("team", std::string()));
    task.exclusive = value.value("exclusive", false);
    if (value.contains("resources"))
    {
        task.size = resources_from_json(value.at("resources"));
    }
    return task;
}

} // namespace

worker_agent::worker_agent(
    agent_context& context, std::uint64_t epoch,
    std::function<std::optional<base::time_point>()> acting_until,
    events handlers)
    : context_(context)
    , epoch_(epoch)
    , acting_until_(std::move(acting_until))
    , handlers_(std::move(handlers))
    , started_(context.clock.now())
{
}

void worker_agent::set_workers(const std::vector<store::vm_entry>& workers)
{
    for (auto& [name, target] : links_)
    {
        target.listed = false;
    }
    for (const store::vm_entry& vm : workers)
    {
        auto [found, added] = links_.try_emplace(vm.name);
        link& target = found->second;
        target.listed = true;
        if (added)
        {
            // The worker may have answered a former owner until the takeover.
            target.last_answer = context_.clock.now();
        }
        target.vm = vm;
    }
}

void worker_agent::add_unlisted(const base::worker_id& worker)
{
    auto [found, added] = links_.try_emplace(worker.text());
    if (added)
    {
        found->second.vm.name = worker.text();
        found->second.listed = false;
        found->second.last_answer = context_.clock.now();
    }
}

void worker_agent::command(const base::worker_id& worker,
                           const running_task& task, const std::string& type,
                           nlohmann::json extra)
{
    const auto found = links_.find(worker.text());
    if (found == links_.end())
    {
        return;
    }
    extra["type"] = type;
    extra["job"] = task.task.job.text();
    extra["index"] = task.task.index;
    extra["token"] = task.token;
    found->second.commands.push_back({type, task, std::move(extra)});
}

void worker_agent::stop()
{
    stopped_ = true;
}

void worker_agent::step()
{
    const auto now = context_.clock.now();
    const auto until = acting_until_();
    std::vector<std::string> ended;
    for (auto& [name, target] : links_)
    {
        if (target.in_flight)
        {
            continue;
        }
        check_lapse(target, now);
        if (!target.listed)
        {
            if (target.lapsed)
            {
                ended.push_back(name);
            }
            continue;
        }
        const bool due = target.state == link_state::active
                             ? !target.commands.empty() ||
                                   now >= target.last_sync + sync_interval
                             : true;
        if (until && due && now >= target.next_call)
        {
            send(target, now, *until);
        }
    }
    for (const std::string& name : ended)
    {
        links_.erase(name);
    }
}

void worker_agent::check_lapse(link& target, base::time_point now)
{
    const coordination::timing periods;
    const auto end =
        target.last_answer + periods.worker_lease + periods.worker_lease_margin;
    if (target.lapsed || now < end)
    {
        return;
    }
    target.lapsed = true;
    target.pending = false;
    target.state = link_state::adopting;
    target.commands.clear();
    target.commands_in_flight = 0;
    base::log(base::log_level::warning, part, "Worker lease lapsed. worker={}",
              target.vm.name);
    context_.metrics.count_event("worker_lapsed");
    handlers_.on_lapsed(base::worker_id(target.vm.name));
}

http::request worker_agent::make_request(link& target) const
{
    const coordination::timing periods;
    const auto lease_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              periods.worker_lease)
                              .count();
    http::request message;
    message.method = "POST";
    nlohmann::json body;
    switch (target.state)
    {
    case link_state::adopting:
        message.path = "/v1/adopt";
        body = {{"owner", config::to_string(context_.settings.http_address)},
                {"daemon", context_.settings.id.text()},
                {"epoch", epoch_}};
        break;
    case link_state::active:
        message.path = "/v1/sync";
        body = {{"epoch", epoch_},
                {"lease_ms", lease_ms},
                {"answered_at_ms", target.answered_at_ms}};
        body["commands"] = nlohmann::json::array();
        target.commands_in_flight =
            std::min(target.commands.size(), max_commands_per_call);
        for (std::size_t i = 0; i < target.commands_in_flight; ++i)
        {
            body["commands"].push_back(target.commands[i].body);
        }
        break;
    }
    message.body = body.dump();
    return message;
}

void worker_agent::send(link& target, base::time_point now,
                        base::time_point until)
{
    http::request message = make_request(target);
    if (target.state == link_state::active)
    {
        target.last_sync = now;
    }
    target.in_flight = true;
    context_.metrics.count_event("worker_call");
    context_.calls.call(target.vm.address, std::move(message), call_timeout,
                        until,
                        [self = shared_from_this(), name = target.vm.name](
                            const http::client_result& result)
                        { self->on_call_result(name, result); });
}

void worker_agent::on_call_result(const std::string& name,
                                  const http::client_result& result)
{
    const auto found = links_.find(name);
    if (stopped_ || found == links_.end())
    {
        return;
    }
    link& target = found->second;
    target.in_flight = false;
    const auto now = context_.clock.now();
    if (!result.ok())
    {
        handle_failure(target, now);
        return;
    }
    target.failures = 0;
    if (result.answer.status == 410)
    {
        target.state = link_state::adopting;
        return;
    }
    const auto body = http::parse_object(result.answer.body);
    if (result.answer.status != 200 || !body.ok())
    {
        base::log(base::log_level::warning, part,
                  "Worker refused a call. worker={} status={}", name,
                  result.answer.status);
        target.state = link_state::adopting;
        target.next_call = now + max_back_off;
        return;
    }
    try
    {
        if (target.state == link_state::adopting)
        {
            handle_adoption(target, *body);
        }
        else
        {
            handle_sync(target, *body);
        }
    }
    catch (const nlohmann::json::exception& error)
    {
        base::log(base::log_level::warning, part,
                  "Worker answer is malformed. worker={} error={}", name,
                  error.what());
        target.next_call = now + max_back_off;
    }
}

void worker_agent::handle_failure(link& target, base::time_point now)
{
    ++target.failures;
    context_.metrics.count_retry(base::error_kind::worker_unreachable);
    const auto back_off =
        initial_back_off * (1U << std::min(target.failures, 4U));
    target.next_call = now + std::min<base::duration>(back_off, max_back_off);
    target.commands_in_flight = 0;
    if (!target.reported_unresponsive &&
        now - target.last_answer > unresponsive_after && target.failures > 1)
    {
        target.reported_unresponsive = true;
        target.state = link_state::adopting;
        base::log(base::log_level::warning, part,
                  "Worker does not answer. worker={}", target.vm.name);
        handlers_.on_unresponsive(base::worker_id(target.vm.name));
    }
}

void worker_agent::handle_adoption(link& target, const nlohmann::json& body)
{
    std::vector<running_task> running;
    for (const nlohmann::json& value : body.at("running"))
    {
        running.push_back(read_task(value));
    }
    record_answer(target, body);
    target.state = link_state::active;
    target.pending = false;
    // The first renewal, which grants the lease, is due at once.
    target.last_sync = base::time_point();
    handlers_.on_adopted(target.vm, running);
}

void worker_agent::record_answer(link& target, const nlohmann::json& body)
{
    target.answered_at_ms = body.at("answered_at_ms").get<std::int64_t>();
    target.last_answer = context_.clock.now();
    target.lapsed = false;
    target.reported_unresponsive = false;
}

void worker_agent::handle_sync(link& target, const nlohmann::json& body)
{
    record_answer(target, body);
    std::vector<queued_command> done;
    const std::size_t sent = std::exchange(target.commands_in_flight, 0);
    for (std::size_t i = 0; i < sent && !target.commands.empty(); ++i)
    {
        done.push_back(std::move(target.commands.front()));
        target.commands.pop_front();
    }
    const nlohmann::json& results = body.at("results");
    for (std::size_t i = 0; i < done.size() && i < results.size(); ++i)
    {
        handlers_.on_result(base::worker_id(target.vm.name), done[i].task,
                            done[i].type,
                            results[i].at("status").get<std::string>());
    }
    for (const nlohmann::json& value :
         body.value("usage", nlohmann::json::array()))
    {
        running_task task = read_task(value);
        task.size = resources_from_json(value);
        handlers_.on_usage(task);
    }
}

base::resources worker_agent::pending_capacity() const
{
    base::resources sum;
    for (const auto& [name, target] : links_)
    {
        if (target.pending)
        {
            sum += target.vm.capacity;
        }
    }
    return sum;
}

std::size_t worker_agent::pending() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& entry) { return entry.second.pending; }));
}

std::size_t worker_agent::active() const
{
    return static_cast<std::size_t>(
        std::count_if(links_.begin(), links_.end(),
                      [](const auto& entry)
                      { return entry.second.state == link_state::active; }));
}

} // namespace coltsfootrack::daemon
