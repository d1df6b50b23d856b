#ifndef COLTSFOOTRACK_WIRE_RELAY_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_RELAY_ANSWER_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Answers a relay_request.
struct relay_answer
{
    std::uint64_t nonce = 0;
    // The name of an error kind; empty if the row was stored.
    std::string error;

    friend bool operator==(const relay_answer& a, const relay_answer& b)
    {
        return a.nonce == b.nonce && a.error == b.error;
    }

    friend bool operator!=(const relay_answer& a, const relay_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
