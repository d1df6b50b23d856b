#ifndef COLTSFOOTRACK_PLACEMENT_ROOM_HOLD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_ROOM_HOLD_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

namespace coltsfootrack::placement
{

// Room on a worker that is being freed for one task of a job.
struct room_hold
{
    handle job = no_handle;
    handle worker = no_handle;
    base::resources size;
    // When the room is given up and sought elsewhere.
    base::time_point deadline;
};

} // namespace coltsfootrack::placement

#endif
