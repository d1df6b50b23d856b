#ifndef COLTSFOOTRACK_WIRE_PEER_EVENTS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_EVENTS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/wire/hello.hpp>
#include <coltsfootrack/wire/message.hpp>

#include <functional>

namespace coltsfootrack::wire
{

// Callbacks of peer_links. They run on the thread of peer_links and must return
// quickly; a daemon posts them to its event queue. They may call send and
// broadcast, but not the destructor. Empty functions are skipped.
struct peer_events
{
    // A message other than hello from a configured peer. It may arrive before
    // on_up, since the two directions connect independently.
    std::function<void(const base::daemon_id&, const message&)> on_message;
    // Both directions are connected. After a reconnection or a restart of the
    // peer, called again with the new hello, after on_down.
    std::function<void(const hello&)> on_up;
    // A direction was lost, or the peer was removed, after on_up.
    std::function<void(const base::daemon_id&)> on_down;
};

} // namespace coltsfootrack::wire

#endif
