#ifndef COLTSFOOTRACK_WIRE_PEER_LINKS_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_LINKS_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/wire/hello.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Settings of peer_links.
struct peer_links_options
{
    // Sent as the first message on every connection.
    hello self;
    // The numeric address and port to listen on; port 0 chooses a free one.
    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 0;
    // Whether frames are compressed for peers that accept it. Worth its
    // processor time only on a thin link.
    bool compress = false;
    // Limits of the output queue of one peer.
    std::size_t max_queued_messages = 1024;
    std::size_t max_queued_bytes = std::size_t(4) * 1024 * 1024;
    // Incoming connections beyond this number are closed at once. Two per peer
    // let a peer reconnect before the end of its old connection is detected.
    std::size_t max_incoming = 128;
    // The first and the longest back-off before reconnecting, of which up to
    // half is jitter.
    std::chrono::milliseconds min_backoff{100};
    std::chrono::milliseconds max_backoff{5000};
    std::chrono::milliseconds connect_timeout{2000};
    // An incoming connection without a hello for this long is closed.
    std::chrono::milliseconds hello_timeout{2000};
    // A connection is closed when for this long nothing is received on it or
    // no sent data is acknowledged: four missed heartbeats.
    std::chrono::milliseconds idle_timeout{8000};
};

} // namespace coltsfootrack::wire

#endif
