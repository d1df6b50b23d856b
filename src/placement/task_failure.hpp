#ifndef COLTSFOOTRACK_PLACEMENT_TASK_FAILURE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TASK_FAILURE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <cstdint>

namespace coltsfootrack::placement
{

// One failure of a task of a job.
struct task_failure
{
    std::uint32_t index = 0;
    // The serial number of the worker's registration.
    std::uint64_t worker_serial = 0;
    base::time_point when;
};

} // namespace coltsfootrack::placement

#endif
