#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_QUERY_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_QUERY_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// The criteria of a search for a worker.
struct worker_query
{
    base::resources size;
    // The job to be placed; it may use its own reservation.
    handle job = no_handle;
    // Whether reservations of other jobs are respected, and when the task would
    // end; the largest time if unknown.
    bool respects_reservations = true;
    base::time_point end = base::time_point::max();
    // Whether a worker on probation may be chosen.
    bool allows_probation = false;
    // Whether a task without accelerators must leave free the processors and
    // memory that go with a worker's idle accelerators.
    bool keeps_accelerators = false;
    // The serial numbers of workers to avoid.
    std::vector<std::uint64_t> avoid;
    // Tasks of the job per rack, if they are to be spread.
    const std::vector<std::uint32_t>* rack_tasks = nullptr;
};

} // namespace coltsfootrack::placement

#endif
