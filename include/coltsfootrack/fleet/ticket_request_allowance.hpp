#ifndef COLTSFOOTRACK_FLEET_TICKET_REQUEST_ALLOWANCE_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_TICKET_REQUEST_ALLOWANCE_HPP_INCLUDED

#include <chrono>
#include <cstddef>

namespace coltsfootrack::fleet
{

// How many ticket requests can be sent now.
struct ticket_request_allowance
{
    std::size_t total = 0;
    // How many of them may take longer than long_request.
    std::size_t long_requests = 0;
    std::chrono::milliseconds long_request{100};

    friend bool operator==(const ticket_request_allowance& a,
                           const ticket_request_allowance& b)
    {
        return a.total == b.total && a.long_requests == b.long_requests &&
               a.long_request == b.long_request;
    }

    friend bool operator!=(const ticket_request_allowance& a,
                           const ticket_request_allowance& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
