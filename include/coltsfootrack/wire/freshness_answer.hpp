#ifndef COLTSFOOTRACK_WIRE_FRESHNESS_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_FRESHNESS_ANSWER_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::wire
{

// Answer to a freshness_query.
struct freshness_answer
{
    std::uint64_t nonce = 0;
    std::uint64_t config_sequence = 0;
    // The age of the proof that the sequence is current; none without a proof.
    // Ages below zero are not valid.
    std::optional<std::chrono::milliseconds> proof_age;
    // Whether the sender may accept tickets.
    bool acceptor = false;
    std::uint64_t membership_version = 0;
    // Whether the sender has attempted a ticket whose outcome it does not know.
    bool in_doubt = false;

    friend bool operator==(const freshness_answer& a, const freshness_answer& b)
    {
        return a.nonce == b.nonce && a.config_sequence == b.config_sequence &&
               a.proof_age == b.proof_age && a.acceptor == b.acceptor &&
               a.membership_version == b.membership_version &&
               a.in_doubt == b.in_doubt;
    }

    friend bool operator!=(const freshness_answer& a, const freshness_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
