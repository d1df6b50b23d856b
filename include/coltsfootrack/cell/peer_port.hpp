#ifndef COLTSFOOTRACK_CELL_PEER_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PEER_PORT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/wire/message.hpp>
#include <coltsfootrack/wire/peer_address.hpp>
#include <coltsfootrack/wire/peer_traffic.hpp>

#include <absl/status/status.h>
#include <cstddef>
#include <functional>
#include <vector>

namespace coltsfootrack::wire
{
class peer_links;
}

namespace coltsfootrack::cell
{

// The connections to the other daemons of the cell, see wire::peer_links. All
// functions may be called from any thread.
struct peer_port
{
    std::function<absl::Status(const std::vector<wire::peer_address>&)>
        set_peers;
    // False if there is no connection, or its queue is full.
    std::function<bool(const base::daemon_id&, const wire::message&)> send;
    // Returns the number of connected peers.
    std::function<std::size_t(const wire::message&)> broadcast;
    std::function<std::vector<base::daemon_id>()> connected;
    // Connected peers, and those whose VM has answered an attempt to connect
    // within this time.
    std::function<std::vector<base::daemon_id>(base::duration)> reached;
    std::function<wire::peer_traffic()> traffic;
};

// The connections must outlive the port.
peer_port make_peer_port(wire::peer_links& links);

} // namespace coltsfootrack::cell

#endif
