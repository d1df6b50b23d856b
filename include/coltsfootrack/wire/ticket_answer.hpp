#ifndef COLTSFOOTRACK_WIRE_TICKET_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_TICKET_ANSWER_HPP_INCLUDED

#include <coltsfootrack/wire/granted_ticket.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::wire
{

// Answers a ticket_query.
struct ticket_answer
{
    std::uint64_t nonce = 0;
    // False if the request failed, so that nothing is known about grants.
    bool answered = false;
    std::vector<granted_ticket> grants;

    friend bool operator==(const ticket_answer& a, const ticket_answer& b)
    {
        return a.nonce == b.nonce && a.answered == b.answered &&
               a.grants == b.grants;
    }

    friend bool operator!=(const ticket_answer& a, const ticket_answer& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
