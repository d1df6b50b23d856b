#ifndef COLTSFOOTRACK_PLACEMENT_EXPLANATION_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_EXPLANATION_HPP_INCLUDED

#include <coltsfootrack/placement/job_state.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::placement
{

// The state of a job and the reasons, for its owner and for operators.
struct explanation
{
    job_state state = job_state::unknown;
    std::uint32_t tasks_waiting = 0;
    // Started and not yet ended, including those that are being stopped.
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_stopping = 0;
    std::uint32_t tasks_finished = 0;
    // Failures within the failure window.
    std::uint32_t failures = 0;
    // One or more sentences: what the waiting tasks wait for.
    std::string text;
};

} // namespace coltsfootrack::placement

#endif
