// Forwards the public interface to the core.

#include <coltsfootrack/placement/scheduler.hpp>

#include "scheduler_core.hpp"

#include <utility>

namespace coltsfootrack::placement
{

scheduler::scheduler(scheduler_options options, base::random_source random)
    : core_(std::make_unique<core>(options, std::move(random)))
{
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::set_teams(const std::vector<team_policy>& teams)
{
    core_->set_teams(teams);
}

void scheduler::set_quota(const base::team_id& team,
                          const base::resources& slice)
{
    core_->set_quota(team, slice);
}

void scheduler::set_unadopted_capacity(const base::resources& capacity)
{
    core_->set_unadopted_capacity(capacity);
}

void scheduler::add_worker(const worker_spec& worker)
{
    core_->add_worker(worker);
}

void scheduler::set_worker_state(const base::worker_id& worker,
                                 worker_state state)
{
    core_->set_worker_state(worker, state);
}

void scheduler::remove_worker(const base::worker_id& worker)
{
    core_->remove_worker(worker);
}

absl::Status scheduler::submit(const job_spec& job, base::time_point now)
{
    return core_->submit(job, now);
}

absl::Status scheduler::cancel(const base::job_id& job)
{
    return core_->cancel(job);
}

void scheduler::restore_running(const restored_task& running)
{
    core_->restore_running(running);
}

void scheduler::restore_finished(const base::task_id& task)
{
    core_->restore_finished(task);
}

bool scheduler::report_started(const base::task_id& task,
                               std::string_view token, base::time_point now)
{
    return core_->report_started(task, token, now);
}

bool scheduler::report_finished(const base::task_id& task,
                                std::string_view token, base::time_point now)
{
    return core_->report_ended(task, token, task_outcome::finished, "", now);
}

bool scheduler::report_failed(const base::task_id& task, std::string_view token,
                              std::string_view reason, base::time_point now)
{
    return core_->report_ended(task, token, task_outcome::failed, reason, now);
}

bool scheduler::report_stopped(const base::task_id& task,
                               std::string_view token, base::time_point now)
{
    return core_->report_ended(task, token, task_outcome::stopped, "", now);
}

bool scheduler::report_usage(const base::task_id& task, std::string_view token,
                             const base::resources& usage, base::time_point now)
{
    return core_->report_usage(task, token, usage, now);
}

std::vector<action> scheduler::step(base::time_point now,
                                    std::size_t max_actions)
{
    return core_->step(now, max_actions);
}

bool scheduler::has_more() const
{
    return core_->has_more();
}

explanation scheduler::explain(const base::job_id& job) const
{
    return core_->explain(job);
}

scheduler_counters scheduler::counters() const
{
    return core_->counters();
}

} // namespace coltsfootrack::placement
