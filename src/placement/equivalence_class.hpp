#ifndef COLTSFOOTRACK_PLACEMENT_EQUIVALENCE_CLASS_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_EQUIVALENCE_CLASS_HPP_INCLUDED

#include "equivalence_key.hpp"
#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>

#include <cstdint>
#include <map>

namespace coltsfootrack::placement
{

// The waiting jobs of one team and tier that have the same key.
struct equivalence_class
{
    equivalence_key key;
    // By sequence number, oldest first. Never empty in a queue.
    std::map<std::uint64_t, handle> jobs;
    // The room version at which a search failed; 0 for none.
    std::uint64_t search_failed_version = 0;
    // When the search is repeated even if the room version is unchanged.
    base::time_point retry_at = base::time_point::max();
    // The room version at which a preemption plan failed; 0 for none.
    std::uint64_t plan_failed_version = 0;
};

} // namespace coltsfootrack::placement

#endif
