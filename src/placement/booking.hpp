#ifndef COLTSFOOTRACK_PLACEMENT_BOOKING_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_BOOKING_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/stop_reason.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::placement
{

// A started task, from the decision to start it to the confirmed end.
struct booking
{
    handle job = no_handle;
    handle worker = no_handle;
    handle team = no_handle;
    std::uint32_t index = 0;
    // The rack of the worker at the start.
    std::uint32_t rack = 0;
    // Unique for each booking; 0 for an unused record.
    std::uint64_t serial = 0;
    std::string token;
    // What is booked now, and what the task was started with.
    base::resources size;
    base::resources declared;
    base::time_point started;
    // The start plus the declared run time; the largest time if none is
    // declared.
    base::time_point expected_end = base::time_point::max();
    // Whether a stop was decided, since when, why and with what grace period.
    bool stopping = false;
    base::time_point stopping_since;
    stop_reason reason = stop_reason::none;
    base::duration grace{};
    // Chosen as a victim by an unfinished preemption plan.
    bool chosen = false;
    // A second copy of a task that was found running after a takeover.
    bool duplicate = false;
    // Started on room that is reserved for another job.
    bool backfill = false;
    // A throttle was issued for the current size.
    bool throttled = false;
    // The positions in the booking lists of the job, the worker and the team.
    std::uint32_t job_position = 0;
    std::uint32_t worker_position = 0;
    std::uint32_t team_position = 0;
};

} // namespace coltsfootrack::placement

#endif
