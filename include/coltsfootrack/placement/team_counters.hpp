#ifndef COLTSFOOTRACK_PLACEMENT_TEAM_COUNTERS_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TEAM_COUNTERS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstddef>

namespace coltsfootrack::placement
{

// The use and the demand of one team in this zone.
struct team_counters
{
    base::team_id team;
    base::resources slice;
    // Booked, including tasks that are being stopped.
    base::resources used;
    // What all waiting tasks together ask for.
    base::resources waiting;
    std::size_t waiting_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t running_tasks = 0;
    // Dominant share of the capacity of this zone, divided by the weight.
    double weighted_share = 0;
};

} // namespace coltsfootrack::placement

#endif
