#ifndef COLTSFOOTRACK_PLACEMENT_SCHEDULER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SCHEDULER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace coltsfootrack::placement
{

// The limits and policies of a scheduler. bench/measure_placement runs the
// defaults with 48 to 1340 workers.
struct scheduler_options
{
    // Jobs with waiting tasks, over all teams and of one team. Further jobs are
    // refused as queue_full.
    std::size_t max_queued_jobs = 20000;
    std::size_t max_queued_jobs_per_team = 5000;
    // The part of max_queued_jobs that only urgent jobs may use.
    std::size_t queued_jobs_reserved_for_urgent = 500;
    // Tasks of one job. A larger job is an invalid request.
    std::uint32_t max_tasks_per_job = 10000;

    // Searches for a worker in one step. The next step continues with the rest.
    std::size_t max_searches_per_step = 64;
    // Preemption plans in one step; each examines every running task.
    std::size_t max_preemption_plans_per_step = 8;
    // Equivalence classes of waiting jobs of one team that one step tries.
    std::size_t max_classes_per_team = 16;
    // Stop actions for cancelled and failed jobs in one step.
    std::size_t max_cancel_stops_per_step = 64;

    // Whether urgent work may preempt, and the grace period of its stops.
    // Urgent work must start within 3.6 s, which leaves 1.6 s for messages.
    bool preemption = true;
    base::duration preemption_grace = std::chrono::seconds(2);
    // How long room is held for an urgent task before it is sought elsewhere.
    base::duration preemption_timeout = std::chrono::milliseconds(2600);
    // The grace period for tasks of cancelled and failed jobs. They need no
    // checkpoint, and a long grace period would delay urgent work on a full
    // fleet.
    base::duration cancel_grace = std::chrono::seconds(2);
    // The grace period of all other stops.
    base::duration stop_grace = std::chrono::seconds(10);

    // Whether room is reserved for waiting gangs and large tasks, after what
    // waiting time, for how many at once, and how often it is replanned.
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

    // Failures older than this are ignored.
    base::duration failure_window = std::chrono::minutes(10);
    // A job fails when one of its tasks has failed on this many workers, or
    // when the workers with failures outnumber its finished and running tasks
    // by this many.
    std::size_t fail_job_after_workers = 3;
    // A job also fails after this many failures of a task that fits no other
    // worker.
    std::size_t fail_job_after_failures = 6;
    // The backoff before a failed task starts again; doubles with each failure
    // within the window, up to a minute.
    base::duration retry_backoff = std::chrono::seconds(1);
    // How long a failed task is kept off the worker on which it failed, if
    // another worker could hold it.
    base::duration avoid_time = std::chrono::seconds(30);
    // A worker on which this many jobs failed is quarantined.
    std::size_t quarantine_jobs = 3;
    // The first quarantine; doubles each time, up to an hour.
    base::duration quarantine_time = std::chrono::minutes(2);
    // Tasks that a worker on probation must finish, one at a time.
    std::size_t probation_successes = 2;
    // The longest probation. A worker that got no suitable task in that time
    // is trusted again, since it may be the only one for other work.
    base::duration probation_time = std::chrono::minutes(5);
    // The largest share of workers in quarantine; one is always allowed.
    std::size_t max_quarantined_percent = 10;
};

} // namespace coltsfootrack::placement

#endif
