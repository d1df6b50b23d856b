#ifndef COLTSFOOTRACK_WIRE_HEARTBEAT_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_HEARTBEAT_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::wire
{

// The state of a daemon, sent to every peer every 2 s. Heartbeats are the only
// messages dropped from the full output queue of a peer.
struct heartbeat
{
    // The sequence of the configuration in force at the sender.
    std::uint64_t config_sequence = 0;
    // The age of the proof that the sequence is current; absent without a
    // proof. Must not be negative.
    std::optional<std::chrono::milliseconds> proof_age;
    // The version of the row members/config that the sender knows.
    std::uint64_t membership_version = 0;
    // The epoch under which the sender owns its zone; 0 if it does not.
    std::uint64_t owner_epoch = 0;
    // Whether the sender's lease allows it to act as the owner.
    bool acting_owner = false;
    // The used part of the sender's request capacity, in thousandths.
    std::uint32_t load_permille = 0;

    friend bool operator==(const heartbeat& a, const heartbeat& b)
    {
        return a.config_sequence == b.config_sequence &&
               a.proof_age == b.proof_age &&
               a.membership_version == b.membership_version &&
               a.owner_epoch == b.owner_epoch &&
               a.acting_owner == b.acting_owner &&
               a.load_permille == b.load_permille;
    }

    friend bool operator!=(const heartbeat& a, const heartbeat& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
