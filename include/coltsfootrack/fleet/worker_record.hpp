#ifndef COLTSFOOTRACK_FLEET_WORKER_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_RECORD_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/fleet/active_run.hpp>
#include <coltsfootrack/fleet/job_record.hpp>
#include <coltsfootrack/fleet/worker_lease.hpp>
#include <coltsfootrack/fleet/worker_listing.hpp>
#include <coltsfootrack/jobs/task_key.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace coltsfootrack::fleet
{

// An end that is not acknowledged yet: it may be once the change of its job is
// stored.
struct unacknowledged_end
{
    std::uint64_t number = 0;
    base::job_id job;
    std::uint64_t change = 0;
};

// What the fleet knows of one worker.
struct worker_record
{
    using run_map = std::map<jobs::task_key, active_run>;

    worker_listing listing;
    // A number of its own, for tables of workers.
    int number = 0;
    // On the platform's list now.
    bool listed = true;
    // Has reported to this leader, so that its runs are known.
    bool synced = false;
    // The last renewal was not answered.
    bool unresponsive = false;
    // Renewals in a row without an answer that were sent when its lease had
    // certainly passed.
    int unanswered_after_lease = 0;
    // Another worker has answered at its address.
    bool replaced = false;
    std::int64_t life = 0;
    // The worker's clock at its newest report. Answers on different connections
    // may overtake each other, and an old list would show runs again that have
    // ended.
    std::chrono::milliseconds report_clock{0};
    worker_lease lease;
    run_map runs;
    // The sum of the room of the runs.
    base::resources used;
    // Runs of which the room is not known; with one the worker is full.
    int unmeasured = 0;
    // The runs that are being stopped, and their room; whether an order to
    // stop one is to be given.
    int stopping = 0;
    base::resources stopping_room;
    bool stop_wanted = false;
    // Reports since the first.
    std::uint64_t reports = 0;
    // Processors that tasks on leftover capacity ask for, thousandths.
    std::int64_t leftover_used = 0;
    // The last end that was taken into account, and the last that may be
    // acknowledged.
    std::uint64_t ends_seen = 0;
    std::uint64_t ends_durable = 0;
    std::deque<unacknowledged_end> ends;
    // When an end of an unknown job first held up the list.
    std::optional<base::time_point> unknown_since;
    // Consecutive failures and their jobs.
    int failures = 0;
    base::job_id failed_job;
    bool several_jobs_failed = false;
    int quarantines = 0;
    base::time_point avoided_until;
    // Of the present round: whether it takes tasks; the room that steps wait
    // for here; the step that it is kept free for; the runs that may be stopped
    // for urgent work, and their room.
    bool open = false;
    base::resources reserved;
    const step_record* kept_for = nullptr;
    std::vector<run_map::iterator> victims;
    base::resources victim_room;
    // The last change of the pace of tasks on leftover capacity.
    base::time_point paced_at;

    worker_record(worker_listing entry, worker_lease start)
        : listing(std::move(entry))
        , lease(start)
    {
    }
};

} // namespace coltsfootrack::fleet

#endif
