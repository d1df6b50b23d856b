#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_RECORD_HPP_INCLUDED

#include "handle.hpp"
#include "worker_failure.hpp"
#include "worker_health.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/worker_spec.hpp>
#include <coltsfootrack/placement/worker_state.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// A worker and what is booked on it. The fields that a search reads come
// first.
struct worker_record
{
    // Capacity minus booked minus held; below zero while room is being freed,
    // after a cut of the capacity or after a takeover.
    base::resources free;
    worker_state state = worker_state::live;
    worker_health health = worker_health::healthy;
    bool known = false;
    // The rank of the id among all ids, to break ties.
    std::uint32_t order = 0;
    std::uint32_t rack = 0;
    // The job for which room is reserved here, how much, and until when.
    handle reserved_for = no_handle;
    base::resources reserved;
    base::time_point reserved_until;
    // The reciprocal of the capacity; 0 for a resource that the worker lacks.
    double inverse_cpu = 0;
    double inverse_memory = 0;
    double inverse_accelerator = 0;

    worker_spec spec;
    // Unique for each registration of a worker.
    std::uint64_t serial = 0;
    base::resources booked;
    // Held for urgent tasks that wait for preempted tasks to end.
    base::resources held;
    std::vector<handle> bookings;

    std::vector<worker_failure> failures;
    std::uint32_t quarantines = 0;
    // The end of the quarantine or of the probation.
    base::time_point health_until;
    std::size_t probation_finished = 0;
};

} // namespace coltsfootrack::placement

#endif
