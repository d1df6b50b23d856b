#ifndef COLTSFOOTRACK_PLACEMENT_VICTIM_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_VICTIM_HPP_INCLUDED

#include "handle.hpp"

#include <cstddef>
#include <cstdint>

namespace coltsfootrack::placement
{

// A booking that could be stopped for other work, and what that costs.
struct victim
{
    handle booking = no_handle;
    // The level in the stop order: batch (0), gang, exclusive, urgent, service;
    // see scheduler::core::victim_level.
    int level = 0;
    // The tasks that end with it: more than one for a gang.
    std::size_t tasks = 1;
    // Nanoseconds of work since the start.
    std::int64_t age = 0;
    std::uint64_t serial = 0;

    // Whether this one is stopped before the other: the lower level, then the
    // later start, then the later booking.
    bool before(const victim& other) const
    {
        if (level != other.level)
        {
            return level < other.level;
        }
        return age != other.age ? age < other.age : serial > other.serial;
    }
};

} // namespace coltsfootrack::placement

#endif
