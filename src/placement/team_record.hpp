#ifndef COLTSFOOTRACK_PLACEMENT_TEAM_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TEAM_RECORD_HPP_INCLUDED

#include "handle.hpp"
#include "tier.hpp"
#include "tier_queue.hpp"
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/team_policy.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// A team: its policy, its slice, what is booked on it and what waits.
struct team_record
{
    base::team_id id;
    // The rank of the id among all ids, to break ties.
    std::uint32_t order = 0;
    bool has_policy = false;
    team_policy policy;
    base::resources slice;
    base::resources used;
    // The part of used that is being stopped.
    base::resources stopping;
    // Held for urgent tasks that wait for preempted tasks to end.
    base::resources held;
    std::vector<handle> bookings;
    std::array<tier_queue, tier_count> queues;
    base::resources waiting;
    std::size_t waiting_tasks = 0;

    std::size_t waiting_jobs() const
    {
        std::size_t jobs = 0;
        for (const tier_queue& queue : queues)
        {
            jobs += queue.jobs();
        }
        return jobs;
    }
};

} // namespace coltsfootrack::placement

#endif
