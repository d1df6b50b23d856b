#ifndef COLTSFOOTRACK_WIRE_PEER_TRAFFIC_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_TRAFFIC_HPP_INCLUDED

#include <coltsfootrack/wire/message_type.hpp>

#include <array>
#include <cstdint>

namespace coltsfootrack::wire
{

// Counters of peer_links since its start. Bytes include the frame prefix.
struct peer_traffic
{
    struct counts
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    // Indexed by message_type. A message counts as sent once its last byte was
    // passed to the operating system.
    std::array<counts, message_type_count> sent{};
    std::array<counts, message_type_count> received{};
    // Bytes of frames whose connection closed before their last byte arrived.
    std::uint64_t received_incomplete = 0;
    // Heartbeats dropped from full output queues.
    std::uint64_t heartbeats_dropped = 0;
    // Messages that were not queued: peer unknown or not connected, or queue
    // full without a heartbeat to drop.
    std::uint64_t refused = 0;
    // Connections closed because of a peer_protocol error.
    std::uint64_t protocol_errors = 0;
    // Incoming connections closed because their hello matches no configured
    // peer and its zone. Expected for a while after a VM was replaced.
    std::uint64_t unknown_peers = 0;
    // Outgoing connections that were established.
    std::uint64_t connects = 0;
};

} // namespace coltsfootrack::wire

#endif
