// Handling of the workers' reports, and writes of the zone's rows.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/resources_json.hpp>
#include <coltsfootrack/daemon/zone_scheduler.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

constexpr auto part = "scheduler";
constexpr std::chrono::milliseconds flush_interval{100};
// Claims deleted in the same commit as their job; a commit is limited to 500
// writes.
constexpr std::size_t max_claims_per_commit = 300;

double seconds(base::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

std::string zone_scheduler::job_key(const std::string& id) const
{
    return "job/" + context_.settings.zone.text() + "/" + id;
}

std::string zone_scheduler::claim_key(const base::task_id& task) const
{
    return "claim/" + context_.settings.zone.text() + "/" + task.job.text() +
           "/" + std::to_string(task.index);
}

void zone_scheduler::on_adopted(const store::vm_entry& vm,
                                const std::vector<running_task>& running)
{
    const base::worker_id worker(vm.name);
    const auto now = context_.clock.now();
    known_workers_.insert(worker);
    scheduler_.add_worker({worker, base::rack_id(vm.rack), vm.capacity});
    scheduler_.set_worker_state(worker, vm.leaving
                                            ? placement::worker_state::leaving
                                            : placement::worker_state::live);
    std::set<base::task_id> present;
    for (const running_task& task : running)
    {
        const auto placed = placed_.find(task.task);
        if (placed != placed_.end() && placed->second.task.token == task.token)
        {
            placed->second.confirmed = true;
            present.insert(task.task);
            continue;
        }
        scheduler_.restore_running({task.task, worker, task.token, task.size,
                                    task.team, task.exclusive, now});
        const auto job = jobs_.find(task.task.job.text());
        if (job == jobs_.end() || job->second.record.ended())
        {
            // The job ended under a former owner that could not stop the task.
            workers_->command(worker, task, "stop", {{"grace_ms", 0}});
        }
        if (placed == placed_.end())
        {
            placed_[task.task] = {worker, task, true, true};
            present.insert(task.task);
        }
    }
    // A confirmed task that the worker does not report has ended. Start
    // commands that are still queued are sent later.
    std::vector<running_task> ended;
    for (const auto& [id, placed] : placed_)
    {
        if (placed.worker == worker && placed.confirmed &&
            present.count(id) == 0)
        {
            ended.push_back(placed.task);
        }
    }
    for (const running_task& task : ended)
    {
        placed_.erase(task.task);
        scheduler_.report_stopped(task.task, task.token, now);
    }
}

void zone_scheduler::on_result(const base::worker_id&, const running_task& task,
                               const std::string& type,
                               const std::string& status)
{
    const auto placed = placed_.find(task.task);
    if (type != "start" || placed == placed_.end() ||
        placed->second.task.token != task.token)
    {
        return;
    }
    const auto now = context_.clock.now();
    if (status == "started" || status == "running")
    {
        if (std::exchange(placed->second.confirmed, true))
        {
            return;
        }
        scheduler_.report_started(task.task, task.token, now);
        context_.metrics.count_event("task_started");
        const auto job = jobs_.find(task.task.job.text());
        if (job != jobs_.end())
        {
            context_.metrics.observe_task_wait(
                job->second.record.spec.urgent,
                seconds(now - job->second.submitted));
        }
        return;
    }
    if (status == "ended" || status == "finished")
    {
        // A worker event reports the end.
        return;
    }
    context_.metrics.count_retry(base::error_kind::task_failed);
    placed_.erase(placed);
    scheduler_.report_failed(task.task, task.token, "start refused: " + status,
                             now);
}

void zone_scheduler::on_lapsed(const base::worker_id& worker)
{
    scheduler_.remove_worker(worker);
    known_workers_.erase(worker);
    for (auto it = placed_.begin(); it != placed_.end();)
    {
        it = it->second.worker == worker ? placed_.erase(it) : std::next(it);
    }
}

void zone_scheduler::on_worker_events(const nlohmann::json& body,
                                      reply_function reply)
{
    try
    {
        for (const nlohmann::json& event : body.at("events"))
        {
            running_task task;
            task.task.job = base::job_id(event.at("job").get<std::string>());
            task.task.index = event.at("index").get<std::uint32_t>();
            task.token = event.at("token").get<std::string>();
            on_task_end(task, event.at("outcome").get<std::string>(),
                        event.value("reason", std::string()));
        }
    }
    catch (const nlohmann::json::exception& error)
    {
        reply(http::error_response(
            base::make_error(base::error_kind::invalid_request, error.what())));
        return;
    }
    waiting_replies_.push_back(std::move(reply));
}

void zone_scheduler::on_task_end(const running_task& task,
                                 const std::string& outcome,
                                 const std::string& reason)
{
    const auto now = context_.clock.now();
    bool known = false;
    if (outcome == "finished")
    {
        known = scheduler_.report_finished(task.task, task.token, now);
        const auto job = jobs_.find(task.task.job.text());
        if (!known && job != jobs_.end() && !job->second.record.ended() &&
            placed_.count(task.task) == 0)
        {
            // The task finished while the zone had no owner and was not started
            // again: its start is unknown here, but its end counts.
            scheduler_.restore_finished(task.task);
            known = true;
        }
        if (known && job != jobs_.end())
        {
            job->second.record.finished.insert(task.task.index);
            job->second.dirty = true;
        }
    }
    else if (outcome == "failed")
    {
        known = scheduler_.report_failed(task.task, task.token, reason, now);
    }
    else
    {
        known = scheduler_.report_stopped(task.task, task.token, now);
    }
    context_.metrics.count_event(known ? "task_" + outcome
                                       : "task_event_unknown");
    const auto placed = placed_.find(task.task);
    if (placed != placed_.end() && placed->second.task.token == task.token)
    {
        placed_.erase(placed);
    }
}

void zone_scheduler::end_job(const base::job_id& job, const std::string& state,
                             const std::string& detail)
{
    const auto found = jobs_.find(job.text());
    if (found == jobs_.end() || found->second.record.ended())
    {
        return;
    }
    found->second.record.state = state;
    found->second.record.detail = detail;
    found->second.dirty = true;
    context_.metrics.count_event("job_" + state);
    base::log(base::log_level::info, part,
              "Job has ended. job={} state={} detail={}", job.text(), state,
              detail);
}

void zone_scheduler::flush()
{
    next_flush_ = context_.clock.now() + flush_interval;
    auto group = std::make_shared<flush_group>();
    group->replies = std::exchange(waiting_replies_, {});
    // The flush itself counts as one, so that early outcomes do not complete
    // the group.
    group->unfinished = 1;
    for (auto& [id, entry] : jobs_)
    {
        if (entry.dirty && !entry.writing)
        {
            write_job(id, entry, group);
        }
        else if (entry.writing)
        {
            // The write in flight does not contain the latest events.
            group->failed = group->failed || entry.dirty;
        }
    }
    --group->unfinished;
    if (group->unfinished != 0)
    {
        return;
    }
    for (const reply_function& reply : group->replies)
    {
        reply(group->failed
                  ? http::error_response(base::make_error(
                        base::error_kind::store_unavailable, "not recorded"))
                  : http::json_response(200, nlohmann::json::object()));
    }
}

void zone_scheduler::write_job(const std::string& id, job_entry& entry,
                               const std::shared_ptr<flush_group>& group)
{
    const std::string key = job_key(id);
    store::mutation change;
    change.require(key, entry.version);
    const bool ended = entry.record.ended();
    if (ended)
    {
        // A task that is still stopping loses its claim, which is safe: the job
        // has ended, so none of its tasks is started again.
        change.erase(key).put("done/" + context_.settings.zone.text() + "/" +
                                  id,
                              to_json(entry.record));
        std::size_t count = 0;
        auto claim = claims_.lower_bound({base::job_id(id), 0});
        for (; claim != claims_.end() && claim->first.job.text() == id &&
               count < max_claims_per_commit;
             ++claim, ++count)
        {
            change.require(claim_key(claim->first), claim->second.version)
                .erase(claim_key(claim->first));
        }
    }
    else
    {
        change.put(key, to_json(entry.record));
    }
    entry.dirty = false;
    entry.writing = true;
    ++group->unfinished;
    context_.store.submit(
        std::move(change),
        [self = shared_from_this(), id, group,
         ended](const store::commit_outcome& outcome)
        {
            if (!outcome.final())
            {
                return;
            }
            const auto found = self->jobs_.find(id);
            if (found != self->jobs_.end())
            {
                job_entry& written = found->second;
                written.writing = false;
                if (outcome.committed() && ended)
                {
                    self->jobs_.erase(found);
                    auto claim =
                        self->claims_.lower_bound({base::job_id(id), 0});
                    while (claim != self->claims_.end() &&
                           claim->first.job.text() == id)
                    {
                        claim = self->claims_.erase(claim);
                    }
                }
                else if (outcome.committed())
                {
                    written.version = outcome.version;
                }
                else
                {
                    written.dirty = true;
                    group->failed = true;
                    self->context_.metrics.count_retry(outcome.reason);
                    if (outcome.result ==
                        store::commit_outcome::result::conflict)
                    {
                        // Another daemon wrote the row, for example to cancel.
                        self->on_job_notice(base::job_id(id));
                    }
                }
            }
            if (--group->unfinished != 0)
            {
                return;
            }
            for (const reply_function& reply : group->replies)
            {
                reply(group->failed
                          ? http::error_response(base::make_error(
                                base::error_kind::store_unavailable,
                                "not recorded"))
                          : http::json_response(200, nlohmann::json::object()));
            }
        });
}

http::response zone_scheduler::explain(const base::job_id& job) const
{
    const auto found = jobs_.find(job.text());
    if (found == jobs_.end())
    {
        return http::error_response(base::make_error(
            base::error_kind::not_found, "no such job in this zone"));
    }
    const placement::explanation why = scheduler_.explain(job);
    return http::json_response(
        200, {{"job", job.text()},
              {"zone", context_.settings.zone.text()},
              {"state", std::string(placement::name_of(why.state))},
              {"tasks_waiting", why.tasks_waiting},
              {"tasks_running", why.tasks_running},
              {"tasks_stopping", why.tasks_stopping},
              {"tasks_finished", why.tasks_finished},
              {"failures", why.failures},
              {"reason", why.text}});
}

nlohmann::json zone_scheduler::status() const
{
    const placement::scheduler_counters counters = scheduler_.counters();
    auto teams = nlohmann::json::array();
    for (const placement::team_counters& team : counters.teams)
    {
        teams.push_back({{"team", team.team.text()},
                         {"slice", to_json(team.slice)},
                         {"used", to_json(team.used)},
                         {"waiting", to_json(team.waiting)},
                         {"waiting_jobs", team.waiting_jobs},
                         {"running_tasks", team.running_tasks},
                         {"weighted_share", team.weighted_share}});
    }
    return {{"loaded", loaded_},
            {"teams", teams},
            {"capacity", to_json(counters.capacity)},
            {"free", to_json(counters.free)},
            {"workers", counters.workers},
            {"workers_active", workers_->active()},
            {"workers_pending", workers_->pending()},
            {"workers_quarantined", counters.workers_quarantined},
            {"running_tasks", counters.running_tasks},
            {"stopping_tasks", counters.stopping_tasks},
            {"waiting_jobs", counters.waiting_jobs},
            {"waiting_tasks", counters.waiting_tasks},
            {"starts", counters.starts},
            {"preemptions", counters.preemptions}};
}

std::uint32_t zone_scheduler::load_permille() const
{
    const placement::scheduler_counters counters = scheduler_.counters();
    const auto part_used = [](std::int64_t capacity, std::int64_t free)
    {
        return capacity <= 0 ? 0 : 1000 - 1000 * free / capacity;
    };
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        std::max(
            part_used(counters.capacity.cpu_milli, counters.free.cpu_milli),
            part_used(counters.capacity.memory_mb, counters.free.memory_mb)),
        0, 1000));
}

std::vector<wire::team_usage> zone_scheduler::team_usage() const
{
    std::vector<wire::team_usage> usage;
    for (const placement::team_counters& team : scheduler_.counters().teams)
    {
        if (team.used != base::resources())
        {
            usage.push_back({team.team, team.used});
        }
    }
    return usage;
}

std::size_t zone_scheduler::running_tasks() const
{
    return scheduler_.counters().running_tasks;
}

} // namespace coltsfootrack::daemon
