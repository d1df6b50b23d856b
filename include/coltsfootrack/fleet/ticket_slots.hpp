#ifndef COLTSFOOTRACK_FLEET_TICKET_SLOTS_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_TICKET_SLOTS_HPP_INCLUDED

#include <chrono>
#include <cstddef>

namespace coltsfootrack::fleet
{

// How many ticket requests can be sent now.
struct ticket_slots
{
    std::size_t total = 0;
    // How many of them may take longer than long_request.
    std::size_t long_requests = 0;
    std::chrono::milliseconds long_request{100};

    friend bool operator==(const ticket_slots& a, const ticket_slots& b)
    {
        return a.total == b.total && a.long_requests == b.long_requests &&
               a.long_request == b.long_request;
    }

    friend bool operator!=(const ticket_slots& a, const ticket_slots& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
