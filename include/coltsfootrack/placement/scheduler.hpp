#ifndef COLTSFOOTRACK_PLACEMENT_SCHEDULER_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SCHEDULER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/base/task_id.hpp>
#include <coltsfootrack/placement/action.hpp>
#include <coltsfootrack/placement/explanation.hpp>
#include <coltsfootrack/placement/job_spec.hpp>
#include <coltsfootrack/placement/restored_task.hpp>
#include <coltsfootrack/placement/scheduler_counters.hpp>
#include <coltsfootrack/placement/scheduler_options.hpp>
#include <coltsfootrack/placement/team_policy.hpp>
#include <coltsfootrack/placement/worker_spec.hpp>
#include <coltsfootrack/placement/worker_state.hpp>

#include <absl/status/status.h>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::placement
{

// Decides which task runs on which worker of one zone. Used by the zone's owner
// in coltsfootrackd; fleet::fleet is the scheduler of a cell.
//
// Order: urgent work, then services, then batch work and gangs; among teams
// the lowest weighted dominant share first; within a team the oldest job
// first. Ties go to the lowest id.
//
// Use: feed events as they arrive and call step after a batch of events and at
// least every 100 ms. Carry out the actions, and report the result of every
// start:
//
//     scheduler zone(options, random);
//     zone.set_teams(teams);
//     zone.set_quota(team, slice);
//     zone.add_worker(worker);
//     absl::Status status = zone.submit(job, now);
//     for (const action& a : zone.step(now, 100)) { ... }
//     zone.report_finished(task, token);
//
// A started task is booked at once on its worker and on its team's slice. It is
// released only by report_finished, report_failed, report_stopped, or
// remove_worker; sending a stop does not release it.
//
// Limits: the queue is bounded by the options; the work of one step is bounded
// by max_actions and the options. Time must not go back between calls.
//
// Thread safety: none; one thread owns the object. It performs no I/O and
// reads no clock. Equal calls with an equal random source give equal actions.
class scheduler
{
public:
    scheduler(scheduler_options options, base::random_source random);
    ~scheduler();
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;

    // Replaces all policies. A team without a policy starts nothing new; its
    // running tasks continue until its slice is lowered or its jobs are
    // cancelled.
    void set_teams(const std::vector<team_policy>& teams);

    // Sets the team's slice in this zone. When more is booked, the excess is
    // stopped: lowest priority and latest start first.
    void set_quota(const base::team_id& team, const base::resources& slice);

    // The capacity of workers that may run unknown tasks after a takeover. It
    // is deducted from every slice for new starts; no task is stopped for it.
    void set_unadopted_capacity(const base::resources& capacity);

    // Adds a live worker, or gives a known worker a new rack or capacity.
    void add_worker(const worker_spec& worker);

    // Changes the state of a known worker; has no effect on others.
    void set_worker_state(const base::worker_id& worker, worker_state state);

    // Removes a worker on which certainly nothing runs any more: it confirmed
    // that, or its lease and the margin have passed. Its bookings are released
    // and their tasks queued again.
    void remove_worker(const base::worker_id& worker);

    // Queues a job. Errors: invalid_request (bad field), already_exists,
    // impossible_job (no worker or limit could hold it; the message says
    // which), queue_full, limit_reached (the team has no policy). While no
    // worker is known, no job is refused for its size.
    absl::Status submit(const job_spec& job, base::time_point now);

    // Cancels a job: waiting tasks are dropped at once, running tasks are
    // stopped by later steps. Error: not_found.
    absl::Status cancel(const base::job_id& job);

    // Books a task that runs on a worker after a takeover, before or after its
    // job is submitted. A job that is submitted after is not subject to the
    // limits of the queue. A second running copy of a task is booked too, and
    // stopped.
    void restore_running(const restored_task& running);

    // Records that a task had finished before the takeover.
    void restore_finished(const base::task_id& task);

    // The reports return false, and change nothing, if the token is not that
    // of a booked start of the task: a late or repeated report.

    // The worker has started the task.
    bool report_started(const base::task_id& task, std::string_view token,
                        base::time_point now);

    // The task has finished and is not started again.
    bool report_finished(const base::task_id& task, std::string_view token,
                         base::time_point now);

    // The task has failed by a fault of the job or of the worker; it is retried
    // unless the job fails.
    bool report_failed(const base::task_id& task, std::string_view token,
                       std::string_view reason, base::time_point now);

    // The task has ended on request, or the worker did not start it. It is
    // queued again unless its job has ended. It does not count as a failure.
    bool report_stopped(const base::task_id& task, std::string_view token,
                        base::time_point now);

    // The usage of the task, possibly some seconds old. Zero accelerators mean
    // that they were not measured.
    bool report_usage(const base::task_id& task, std::string_view token,
                      const base::resources& usage, base::time_point now);

    // Decides up to max_actions actions; see the description of the class.
    std::vector<action> step(base::time_point now, std::size_t max_actions);

    // Whether another step at the same time could decide more, because a limit
    // ended the last one.
    bool has_more() const;

    // Why the job waits or what it does.
    explanation explain(const base::job_id& job) const;

    // The current counters.
    scheduler_counters counters() const;

private:
    class core;
    std::unique_ptr<core> core_;
};

} // namespace coltsfootrack::placement

#endif
