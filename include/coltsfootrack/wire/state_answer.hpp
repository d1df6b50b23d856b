#ifndef COLTSFOOTRACK_WIRE_STATE_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_STATE_ANSWER_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Answers a state_query.
struct state_answer
{
    std::uint64_t nonce = 0;
    // The name of the state; empty if the sender is not the leader or does not
    // know the job.
    std::string state;

    friend bool operator==(const state_answer& a, const state_answer& b)
    {
        return a.nonce == b.nonce && a.state == b.state;
    }

    friend bool operator!=(const state_answer& a, const state_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
