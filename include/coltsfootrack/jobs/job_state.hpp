#ifndef COLTSFOOTRACK_JOBS_JOB_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_STATE_HPP_INCLUDED

#include <optional>
#include <string_view>

namespace coltsfootrack::jobs
{

// The state of a job as its caller sees it. The last three are final.
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

// The fixed name, for example "completed".
std::string_view name_of(job_state state);

std::optional<job_state> state_named(std::string_view name);

} // namespace coltsfootrack::jobs

#endif
