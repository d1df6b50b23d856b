#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_QUERY_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_QUERY_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// What a search for a worker asks for.
struct worker_query
{
    base::resources size;
    // The searching job, to which room kept for it is open.
    handle job = no_handle;
    // Whether room kept for other jobs is respected, and when the task would
    // end; the largest time if unknown.
    bool respects_reservations = true;
    base::time_point end = base::time_point::max();
    // Whether a worker on probation may be chosen.
    bool allows_probation = false;
    // Whether a task without accelerators leaves the processors and memory
    // that belong to the free accelerators of a worker.
    bool keeps_accelerators = false;
    // The serial numbers of workers that are not to be chosen.
    std::vector<std::uint64_t> avoid;
    // Tasks of the job per rack, if they are to be spread.
    const std::vector<std::uint32_t>* rack_tasks = nullptr;
};

} // namespace coltsfootrack::placement

#endif
