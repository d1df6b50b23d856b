#ifndef COLTSFOOTRACK_PLACEMENT_SCHEDULER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SCHEDULER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coltsfootrack::placement
{

// The limits and rules of a scheduler. The defaults fit one zone of the design
// size.
struct scheduler_options
{
    // Jobs with waiting tasks, over all teams and of one team. A job beyond
    // them is refused as queue_full.
    std::size_t max_queued_jobs = 20000;
    std::size_t max_queued_jobs_per_team = 5000;
    // The part of max_queued_jobs that only urgent jobs may use.
    std::size_t queued_jobs_reserved_for_urgent = 500;
    // Tasks of one job. A larger job is an invalid request.
    std::uint32_t max_tasks_per_job = 10000;

    // Searches for a worker in one step. What is left over is continued by the
    // next step.
    std::size_t max_searches_per_step = 64;
    // Plans to preempt in one step, each a look at every running task.
    std::size_t max_preemption_plans_per_step = 8;
    // Different task sizes of one team that one step looks at.
    std::size_t max_classes_per_team = 16;
    // Stop actions for cancelled and condemned jobs in one step.
    std::size_t max_cancel_stops_per_step = 64;

    // Whether urgent work may preempt, and the grace of its stops. Urgent work
    // must start within 3.6 s, which leaves 1.6 s for messages.
    bool preemption = true;
    base::duration preemption_grace = std::chrono::seconds(2);
    // The time after which room being freed for an urgent task is given up and
    // sought elsewhere.
    base::duration preemption_timeout = std::chrono::milliseconds(2600);
    // The grace of tasks of cancelled and condemned jobs. They save nothing,
    // and a long grace would keep a full fleet from urgent work.
    base::duration cancel_grace = std::chrono::seconds(2);
    // The grace of all other stops.
    base::duration stop_grace = std::chrono::seconds(10);

    // Whether room is kept for gangs and large tasks that wait, after what
    // waiting time, for how many at once, and how often it is planned anew.
    bool reservations = true;
    base::duration reserve_after = std::chrono::seconds(5);
    std::size_t max_reservations = 4;
    base::duration replan_interval = std::chrono::seconds(5);

    // Whether accelerator VMs are kept for accelerator work.
    bool keep_accelerators = true;

    // Whether usage below the declared size lowers what is booked for batch
    // tasks, and the margin above usage in percent.
    bool reclaim_unused = false;
    std::int64_t reclaim_margin_percent = 25;

    // Failures older than this are forgotten.
    base::duration failure_window = std::chrono::minutes(10);
    // One task that failed on this many workers condemns its job; so do
    // failures on this many workers in excess of the finished tasks.
    std::size_t fail_job_after_workers = 3;
    // Failures that condemn a job which no other worker can hold.
    std::size_t fail_job_after_failures = 6;
    // The pause before a failed task starts again; doubles with each failure
    // within the window, up to a minute.
    base::duration retry_backoff = std::chrono::seconds(1);
    // How long a failed task is kept off the worker on which it failed, if
    // another worker could hold it.
    base::duration avoid_time = std::chrono::seconds(30);
    // Failures of this many jobs quarantine a worker.
    std::size_t quarantine_jobs = 3;
    // The first quarantine; doubles each time, up to an hour.
    base::duration quarantine_time = std::chrono::minutes(2);
    // Tasks that a worker on probation must finish, one at a time.
    std::size_t probation_successes = 2;
    // The longest probation. A worker that got no suitable task in that time
    // is trusted again, since it may be the only one for other work.
    base::duration probation_time = std::chrono::minutes(5);
    // The largest part of the workers in quarantine; one is always allowed.
    std::size_t max_quarantined_percent = 10;
};

} // namespace coltsfootrack::placement

#endif
