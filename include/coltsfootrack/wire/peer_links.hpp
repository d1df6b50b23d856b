#ifndef COLTSFOOTRACK_WIRE_PEER_LINKS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_LINKS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/wire/message.hpp>
#include <coltsfootrack/wire/peer_address.hpp>
#include <coltsfootrack/wire/peer_events.hpp>
#include <coltsfootrack/wire/peer_links_options.hpp>
#include <coltsfootrack/wire/peer_traffic.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace coltsfootrack::wire
{

// TCP connections to all other daemons.
//
//     auto links = peer_links::start(options, clock, system_random(), events);
//     (*links)->set_peers(addresses);
//     (*links)->broadcast(heartbeat{...});
//
// One thread listens, connects, reads and writes. A daemon sends only on the
// connections that it opened and reads only from those that it accepted, so
// that two daemons which connect at the same time need not close one of the two
// connections. Queued messages are discarded when a connection is lost, since
// most of them would be stale after a reconnection.
//
// Limits: see peer_links_options. When the output queue of a peer is full, the
// oldest heartbeat in it is dropped; without one, the new message is refused.
//
// Thread safety: all functions may be called from any thread. The destructor
// ends the thread and closes all connections without further callbacks.
class peer_links
{
public:
    // Starts listening; invalid_settings if the address cannot be used. The
    // clock must outlive the object.
    static absl::StatusOr<std::unique_ptr<peer_links>>
    start(peer_links_options options, const base::clock& clock,
          base::random_source random, peer_events events);

    ~peer_links();

    peer_links(const peer_links&) = delete;
    peer_links& operator=(const peer_links&) = delete;

    // Replaces the list of peers. Connections to peers that were removed or
    // have changed their address are closed; an entry with the daemon's own id
    // is ignored. invalid_settings, without any change, if an address is not
    // numeric or an id occurs twice.
    absl::Status set_peers(const std::vector<peer_address>& peers);

    // Queues a message for one peer. False if the peer is unknown or not
    // connected, the message is too large, or the queue is full.
    bool send(const base::daemon_id& peer, const message& value);

    // Queues a message for all connected peers and returns their number.
    std::size_t broadcast(const message& value);

    // Peers with both directions connected, in the order of their ids.
    std::vector<base::daemon_id> connected() const;

    // Peers that are connected, or whose VM has answered an attempt to connect
    // within `age`: their process is not running, or refuses this daemon
    // because it does not know it yet. In the order of their ids.
    std::vector<base::daemon_id> reached(base::duration age) const;

    peer_traffic traffic() const;

    // The port on which this daemon listens.
    std::uint16_t port() const;

private:
    class impl;

    explicit peer_links(std::unique_ptr<impl> impl);

    std::unique_ptr<impl> impl_;
};

} // namespace coltsfootrack::wire

#endif
