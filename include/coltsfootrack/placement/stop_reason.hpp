#ifndef COLTSFOOTRACK_PLACEMENT_STOP_REASON_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_STOP_REASON_HPP_INCLUDED

#include <string_view>

namespace coltsfootrack::placement
{

// Why a task is stopped.
enum class stop_reason
{
    // Not a stop.
    none,
    // The job was cancelled.
    cancelled,
    // The job has failed; see action_type::fail_job.
    condemned,
    // Urgent work, or accelerator work on an accelerator VM, needs the room.
    preempted,
    // The worker is leaving.
    worker_leaving,
    // The team's slice was lowered.
    over_slice,
    // The task uses more than was booked and the worker or slice has no more.
    over_size,
    // The task was backfilled and runs longer than declared.
    overran,
    // Another task of the gang has ended early.
    gang_broken,
    // The task is already running elsewhere.
    duplicate
};

// The name of a reason in log lines and metric labels.
std::string_view name_of(stop_reason reason);

} // namespace coltsfootrack::placement

#endif
