#ifndef COLTSFOOTRACK_ROUTING_ATTEMPT_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ATTEMPT_ANSWER_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootrack::routing
{

// The parts of a runner's answer that attempt_table checks.
struct attempt_answer
{
    // The X-Attempt-Id of the answer; empty if absent.
    std::string attempt_id;
    // The declared length of the body, if any.
    std::optional<std::uint64_t> declared_length;
    // The number of bytes of the body that arrived.
    std::uint64_t received_length = 0;

    friend bool operator==(const attempt_answer& a, const attempt_answer& b)
    {
        return a.attempt_id == b.attempt_id &&
               a.declared_length == b.declared_length &&
               a.received_length == b.received_length;
    }

    friend bool operator!=(const attempt_answer& a, const attempt_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::routing

#endif
