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
// Bounded by the number of workers added; remove_worker forgets one.
//
// Thread safety: none.
class adoption_tracker
{
public:
    explicit adoption_tracker(timing periods = {});

    // The takeover with this epoch is known to have taken effect. All workers
    // become pending until timing::worker_lease + worker_lease_margin later.
    void takeover(std::uint64_t epoch, base::time_point now);

    // Adds a worker, or sets its capacity.
    void add_worker(const base::worker_id& worker,
                    const base::resources& capacity);

    // Forgets a worker that the platform has removed. It must not be called
    // while the worker is pending: the worker may still run tasks.
    void remove_worker(const base::worker_id& worker);

    // The worker answered an adoption with this epoch; other epochs than that
    // of the takeover are ignored.
    void adopted(const base::worker_id& worker, std::uint64_t epoch);

    // The state of a worker; pending if it is not known and the waiting time
    // after the takeover has not passed.
    adoption_state state(const base::worker_id& worker,
                         base::time_point now) const;

    // The capacity of all pending workers.
    base::resources pending_capacity(base::time_point now) const;

    // An upper bound of what a team uses of its slice: what adopted workers run
    // for it plus the pending capacity, at most the slice. The slice must be
    // the committed one: tasks on pending workers may use all of it even if
    // the owner has already lowered what it uses itself.
    base::resources use_bound(const base::resources& committed_slice,
                              const base::resources& adopted_use,
                              base::time_point now) const;

    // The time at which no worker is pending any more.
    base::time_point settled_at() const;

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
