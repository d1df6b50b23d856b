#ifndef COLTSFOOTRACK_WIRE_GRANTED_TICKET_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_GRANTED_TICKET_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <string>

namespace coltsfootrack::wire
{

// A worker that may run a step, and the ticket for it.
struct granted_ticket
{
    base::worker_id worker;
    std::string ticket;

    friend bool operator==(const granted_ticket& a, const granted_ticket& b)
    {
        return a.worker == b.worker && a.ticket == b.ticket;
    }

    friend bool operator!=(const granted_ticket& a, const granted_ticket& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
