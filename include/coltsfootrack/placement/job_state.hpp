#ifndef COLTSFOOTRACK_PLACEMENT_JOB_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_JOB_STATE_HPP_INCLUDED

#include <string_view>

namespace coltsfootrack::placement
{

// What a job is doing.
enum class job_state
{
    // Not known here: never submitted, complete, or cancelled.
    unknown,
    // At least one task waits for room.
    waiting,
    // All tasks that have not finished are running.
    running,
    // The job was cancelled or has failed, and its last tasks are ending.
    ending
};

// The name of a state in answers and log lines.
std::string_view name_of(job_state state);

} // namespace coltsfootrack::placement

#endif
