#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_FAILURE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_FAILURE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>

namespace coltsfootrack::placement
{

// One failure on a worker.
struct worker_failure
{
    base::job_id job;
    base::time_point when;
};

} // namespace coltsfootrack::placement

#endif
