// Counts the capacity of workers not yet adopted as used.

#include <coltsfootrack/coordination/adoption_tracker.hpp>

namespace coltsfootrack::coordination
{

adoption_tracker::adoption_tracker(timing periods)
    : periods_(periods)
{
}

void adoption_tracker::takeover(std::uint64_t epoch, base::time_point now)
{
    epoch_ = epoch;
    taken_over_ = now;
    for (auto& [worker, entry] : workers_)
    {
        entry.adopted = false;
    }
}

void adoption_tracker::add_worker(const base::worker_id& worker,
                                  const base::resources& capacity)
{
    workers_[worker].capacity = capacity;
}

void adoption_tracker::remove_worker(const base::worker_id& worker)
{
    workers_.erase(worker);
}

void adoption_tracker::adopted(const base::worker_id& worker,
                               std::uint64_t epoch)
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && epoch == epoch_)
    {
        found->second.adopted = true;
    }
}

adoption_state adoption_tracker::state(const base::worker_id& worker,
                                       base::time_point now) const
{
    const auto found = workers_.find(worker);
    if (found != workers_.end() && found->second.adopted)
    {
        return adoption_state::adopted;
    }
    return now < pending_until() ? adoption_state::pending
                                 : adoption_state::lapsed;
}

base::resources adoption_tracker::pending_capacity(base::time_point now) const
{
    base::resources sum;
    if (now < pending_until())
    {
        for (const auto& [worker, entry] : workers_)
        {
            if (!entry.adopted)
            {
                sum += entry.capacity;
            }
        }
    }
    return sum;
}

base::resources
adoption_tracker::use_bound(const base::resources& committed_slice,
                            const base::resources& adopted_use,
                            base::time_point now) const
{
    // Adopted workers may really use more than the slice, so the cap at the
    // slice never lowers the result below their use.
    return component_max(
        adopted_use,
        component_min(committed_slice, adopted_use + pending_capacity(now)));
}

base::time_point adoption_tracker::pending_until() const
{
    return taken_over_ + periods_.worker_lease + periods_.worker_lease_margin;
}

} // namespace coltsfootrack::coordination
