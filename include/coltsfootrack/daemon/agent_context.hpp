#ifndef COLTSFOOTRACK_DAEMON_AGENT_CONTEXT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_AGENT_CONTEXT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/config/daemon_settings.hpp>
#include <coltsfootrack/daemon/call_pool.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/daemon/published_state.hpp>
#include <coltsfootrack/daemon/store_session.hpp>
#include <coltsfootrack/wire/peer_links.hpp>

namespace coltsfootrack::daemon
{

// Objects that the agents of the control thread share. All outlive the agents.
struct agent_context
{
    const config::daemon_settings& settings;
    const base::clock& clock;
    // For the control thread only.
    base::random_source random;
    control_loop& loop;
    daemon::metrics& metrics;
    published_state& published;
    store_session& store;
    call_pool& calls;
    // Null until the peer links have started, before the control thread runs.
    wire::peer_links* peers = nullptr;
};

} // namespace coltsfootrack::daemon

#endif
