#ifndef COLTSFOOTRACK_PLACEMENT_PREEMPTION_HOLD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_PREEMPTION_HOLD_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

namespace coltsfootrack::placement
{

// Room on a worker that is being freed by preemption for one task of a job.
struct preemption_hold
{
    handle job = no_handle;
    handle worker = no_handle;
    base::resources size;
    // When the hold expires and room is sought elsewhere.
    base::time_point deadline;
};

} // namespace coltsfootrack::placement

#endif
