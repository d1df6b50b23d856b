#ifndef COLTSFOOTRACK_WIRE_FRESHNESS_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_FRESHNESS_ANSWER_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <optional>

namespace coltsfootrack::wire
{

// Answers a freshness_query.
struct freshness_answer
{
    std::uint64_t nonce = 0;
    std::uint64_t config_sequence = 0;
    // The age of the proof that the sequence is current; absent without a
    // proof. Must not be negative.
    std::optional<std::chrono::milliseconds> proof_age;
    // Whether the sender may accept tickets.
    bool acceptor = false;
    std::uint64_t membership_version = 0;
    // The outcome of an attempted ticket or membership change is unknown.
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
