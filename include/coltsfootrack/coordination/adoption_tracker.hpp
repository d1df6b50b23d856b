#ifndef COLTSFOOTRACK_COORDINATION_ADOPTION_TRACKER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ADOPTION_TRACKER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/coordination/adoption_state.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <cstdint>
#include <map>

namespace coltsfootrack::coordination
{

// Tracks, after a takeover, which workers of the zone have been adopted.
//
//     adoption_tracker adoption;
//     adoption.takeover(epoch, now);
//     adoption.add_worker(id, capacity);
//     adoption.adopted(id, epoch);
//     resources used = adoption.use_bound(ledger.committed(), running, now);
//
// Memory is bounded by the number of workers added and not removed.
//
// Thread safety: none.
class adoption_tracker
{
public:
    explicit adoption_tracker(timing periods = {});

    // Records that the takeover with this epoch has taken effect. All workers
    // become pending for up to timing::worker_lease + worker_lease_margin.
    void takeover(std::uint64_t epoch, base::time_point now);

    // Adds a worker or updates its capacity.
    void add_worker(const base::worker_id& worker,
                    const base::resources& capacity);

    // Drops a worker that the platform has removed. Must not be called while
    // the worker is pending, since it may still run tasks.
    void remove_worker(const base::worker_id& worker);

    // Records that the worker answered an adoption request of this epoch.
    // Ignored unless it is the epoch of the takeover.
    void adopted(const base::worker_id& worker, std::uint64_t epoch);

    // The state of a worker. An unknown worker is pending until
    // pending_until(), then lapsed.
    adoption_state state(const base::worker_id& worker,
                         base::time_point now) const;

    // The total capacity of the pending workers.
    base::resources pending_capacity(base::time_point now) const;

    // An upper bound on a team's use of its slice: what adopted workers run
    // for it plus the pending capacity, capped at the slice. Pass the committed
    // slice: tasks on pending workers may use all of it even if the owner has
    // already lowered its own use.
    base::resources use_bound(const base::resources& committed_slice,
                              const base::resources& adopted_use,
                              base::time_point now) const;

    // The time from which no worker is pending.
    base::time_point pending_until() const;

private:
    struct worker_entry
    {
        base::resources capacity;
        bool adopted = false;
    };

    timing periods_;
    std::uint64_t epoch_ = 0;
    base::time_point taken_over_;
    std::map<base::worker_id, worker_entry> workers_;
};

} // namespace coltsfootrack::coordination

#endif
