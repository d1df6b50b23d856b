#ifndef COLTSFOOTRACK_PLACEMENT_SHAPE_GROUP_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SHAPE_GROUP_HPP_INCLUDED

#include "handle.hpp"
#include "shape_key.hpp"
#include <coltsfootrack/base/clock.hpp>

#include <cstdint>
#include <map>

namespace coltsfootrack::placement
{

// The waiting jobs of one team and tier that have the same key.
struct shape_group
{
    shape_key key;
    // By sequence number, oldest first. Never empty in a queue.
    std::map<std::uint64_t, handle> jobs;
    // The state of the fleet's room in which a search failed; 0 for none.
    std::uint64_t failed_at = 0;
    // When the search is repeated although the room has not changed.
    base::time_point retry_at = base::time_point::max();
    // The state of the room in which a plan to preempt failed; 0 for none.
    std::uint64_t plan_failed_at = 0;
};

} // namespace coltsfootrack::placement

#endif
