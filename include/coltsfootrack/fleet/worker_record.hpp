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
#include <set>
#include <vector>

namespace coltsfootrack::fleet
{

// A run end that is not acknowledged yet: it may be once this change of its job
// is stored.
struct unacknowledged_end
{
    std::uint64_t number = 0;
    base::job_id job;
    std::uint64_t change = 0;
};

// Consecutive renewals of a worker that were not answered.
struct unanswered_renewals
{
    int count = 0;
    // Those that a daemon in the worker's zone confirmed.
    int confirmed = 0;
};

// What the fleet knows of one worker.
struct worker_record
{
    using run_map = std::map<jobs::task_key, active_run>;

    static constexpr std::size_t max_failed_runs = 16;

    worker_listing listing;
    // The service under which a former leader may have used it; its entry may
    // have changed since.
    std::optional<base::service_id> former_service;
    // Unique among the workers of the fleet; indexes tables of workers.
    int number = 0;
    // On the platform's list now.
    bool listed = true;
    // Has reported to this leader in full, so that its runs are known.
    bool synced = false;
    // Gets no tasks, since no stored row names it.
    bool starts_held = false;
    // The last renewal was not answered, or another worker answered at its
    // address.
    bool unresponsive = false;
    // Those that were sent after its lease had certainly expired, and after any
    // lease of a later life had; and when the last one was sent.
    unanswered_renewals unanswered_after_lease;
    unanswered_renewals unanswered_after_later_lease;
    base::time_point last_unanswered_at;
    // The last renewal was not answered, which a daemon in the worker's zone
    // confirmed.
    bool silence_confirmed = false;
    // Another worker has answered at its address.
    bool replaced = false;
    // The incarnation of the worker; changes when it restarts.
    std::int64_t life = 0;
    // The worker's clock at its newest report. Answers on different connections
    // may be reordered, and an old one would list runs that have ended.
    std::chrono::milliseconds report_clock{0};
    // When the clock in an answer showed that the worker has restarted. Its
    // reports are of the former life until one was sent after that.
    std::optional<base::time_point> restart_seen_at;
    worker_lease lease;
    run_map runs;
    // The sum of active_run::room.
    base::resources used;
    // Runs whose resources are unknown; with any, the worker counts as full.
    int unknown_size_runs = 0;
    // The runs that are being stopped, and their room; whether a stop order is
    // due for one of them.
    int stopping = 0;
    base::resources stopping_room;
    bool has_pending_stops = false;
    // The number of reports received.
    std::uint64_t reports = 0;
    // What tasks on leftover capacity request, in thousandths of a core.
    std::int64_t leftover_used = 0;
    // The last end that was processed, and the last that may be acknowledged.
    std::uint64_t ends_seen = 0;
    std::uint64_t ends_durable = 0;
    std::deque<unacknowledged_end> ends;
    // Since when an end of an unknown job has blocked the processing of ends.
    std::optional<base::time_point> unknown_since;
    // The tasks of the last runs that failed here since one was done, the
    // newest last; at most max_failed_runs.
    std::deque<jobs::task_key> failed_runs;
    // Quarantines since a run was done here, the start of the last one, and how
    // many of failed_runs led to it.
    int quarantines = 0;
    base::time_point quarantined_at;
    std::size_t quarantine_evidence = 0;
    // The jobs of which a run has stalled here since any run made progress.
    std::set<base::job_id> stalled_jobs;
    // Gets no tasks until then, unless too many workers of its service are
    // quarantined; and after it refused an order.
    base::time_point quarantined_until;
    base::time_point refused_until;
    // For the current round: whether it accepts tasks; the room reserved for
    // waiting steps; the step that the whole worker is reserved for; the runs
    // that may be preempted, and their room.
    bool schedulable = false;
    base::resources reserved_room;
    const step_record* reserved_for = nullptr;
    // Also for the current round: the places that are held here for standing
    // tasks which move, as room and as leftover capacity in thousandths of a
    // core.
    base::resources held_room;
    std::int64_t held_leftover = 0;
    std::vector<run_map::iterator> victims;
    base::resources victim_room;
    // What runs that do not end soon use, as room and as leftover capacity in
    // thousandths of a core.
    base::resources lasting_room;
    std::int64_t lasting_leftover = 0;
    // When the throttling of tasks on leftover capacity last changed.
    base::time_point paced_at;

    worker_record(worker_listing entry, worker_lease start)
        : listing(std::move(entry))
        , lease(start)
    {
    }
};

} // namespace coltsfootrack::fleet

#endif
