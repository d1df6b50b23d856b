#ifndef COLTSFOOTRACK_JOBS_JOB_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_STATE_HPP_INCLUDED

#include <optional>
#include <string_view>

namespace coltsfootrack::jobs
{

// The state of a job as shown to its caller. The last three are final.
enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

constexpr bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

// The name on the wire and in the store, for example "completed".
std::string_view name_of(job_state state);

// The state with this name; nothing if there is none.
std::optional<job_state> state_named(std::string_view name);

} // namespace coltsfootrack::jobs

#endif
