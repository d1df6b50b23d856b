#ifndef COLTSFOOTRACK_PLACEMENT_RESERVATION_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_RESERVATION_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>

#include <vector>

namespace coltsfootrack::placement
{

// The workers on which room is reserved for a waiting gang or large task.
struct reservation
{
    handle job = no_handle;
    std::vector<handle> workers;
    base::time_point planned;
    // When the job is expected to start, by the declared run times.
    base::time_point expected_start;
};

} // namespace coltsfootrack::placement

#endif
