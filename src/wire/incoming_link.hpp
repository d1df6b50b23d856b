#ifndef COLTSFOOTRACK_WIRE_INCOMING_LINK_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_INCOMING_LINK_HPP_INCLUDED

#include "socket_handle.hpp"

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>
#include <coltsfootrack/wire/hello.hpp>
#include <coltsfootrack/wire/message.hpp>
#include <coltsfootrack/wire/peer_links_options.hpp>
#include <coltsfootrack/wire/peer_traffic.hpp>

#include <absl/status/status.h>
#include <optional>
#include <vector>

namespace coltsfootrack::wire
{

// A connection that a peer opened and on which only the peer sends.
//
// Thread safety: none; only the thread of peer_links uses it.
class incoming_link
{
public:
    // The options must outlive the link.
    incoming_link(socket_handle socket, const peer_links_options& options,
                  base::time_point now);

    int descriptor() const
    {
        return socket_.descriptor();
    }

    // The peer's hello, once it was received.
    const std::optional<hello>& peer() const
    {
        return peer_;
    }

    // The bytes received of a frame that is not complete yet.
    std::size_t incomplete_bytes() const
    {
        return decoder_.buffered();
    }

    // When the link must be closed if nothing more is received.
    base::time_point deadline() const;

    // Reads the available bytes, up to a limit, and appends the complete
    // messages after the hello. An error means that the link must be closed:
    // peer_protocol if the peer violated the protocol, cancelled if the
    // connection has ended.
    absl::Status receive(base::time_point now, peer_traffic& traffic,
                         std::vector<message>& messages);

private:
    absl::Status decode_frames(peer_traffic& traffic,
                               std::vector<message>& messages);

    socket_handle socket_;
    const peer_links_options* options_;
    frame_decoder decoder_;
    std::optional<hello> peer_;
    base::time_point accepted_at_;
    base::time_point last_received_at_;
};

} // namespace coltsfootrack::wire

#endif
