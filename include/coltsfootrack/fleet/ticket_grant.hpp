#ifndef COLTSFOOTRACK_FLEET_TICKET_GRANT_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_TICKET_GRANT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <string>

namespace coltsfootrack::fleet
{

// A worker that may run a step, and the ticket to send with its start orders.
// In fleet and cell, a ticket is a placement ticket.
struct ticket_grant
{
    base::worker_id worker;
    std::string ticket;

    friend bool operator==(const ticket_grant& a, const ticket_grant& b)
    {
        return a.worker == b.worker && a.ticket == b.ticket;
    }

    friend bool operator!=(const ticket_grant& a, const ticket_grant& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
