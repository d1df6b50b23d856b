#ifndef COLTSFOOTRACK_ROUTING_RUNNER_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RUNNER_STATE_HPP_INCLUDED

namespace coltsfootrack::routing
{

// Whether the platform's list shows a runner as available for new work.
enum class runner_state
{
    live,
    leaving
};

} // namespace coltsfootrack::routing

#endif
