#ifndef COLTSFOOTRACK_PLACEMENT_SCHEDULER_COUNTERS_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SCHEDULER_COUNTERS_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/team_counters.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// The state of the scheduler in numbers, for metrics and for slice requests.
struct scheduler_counters
{
    // All teams with a policy, a slice, or work; ordered by id.
    std::vector<team_counters> teams;
    // The capacity of live workers, and what of it is not booked.
    base::resources capacity;
    base::resources free;
    std::size_t workers = 0;
    std::size_t workers_quarantined = 0;
    std::size_t workers_on_probation = 0;
    std::size_t running_tasks = 0;
    std::size_t stopping_tasks = 0;
    std::size_t waiting_jobs = 0;
    std::size_t waiting_tasks = 0;
    // Gangs and large tasks for which room is reserved.
    std::size_t reservations = 0;
    // Totals since the start.
    std::uint64_t starts = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t quarantines = 0;
    std::uint64_t refused = 0;
};

} // namespace coltsfootrack::placement

#endif
