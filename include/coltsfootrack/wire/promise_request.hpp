#ifndef COLTSFOOTRACK_WIRE_PROMISE_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PROMISE_REQUEST_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::wire
{

// Asks a candidate not to take over the zone for the duration of the lease.
struct promise_request
{
    base::zone_id zone;
    std::uint64_t epoch = 0;
    std::uint64_t owner_incarnation = 0;
    // From 0 to 2^32 - 1 ms.
    std::chrono::milliseconds lease = std::chrono::milliseconds(0);
    // Returned in the answer, so that the owner counts the lease from the time
    // at which it sent the granted request.
    std::uint64_t nonce = 0;

    friend bool operator==(const promise_request& a, const promise_request& b)
    {
        return a.zone == b.zone && a.epoch == b.epoch &&
               a.owner_incarnation == b.owner_incarnation &&
               a.lease == b.lease && a.nonce == b.nonce;
    }

    friend bool operator!=(const promise_request& a, const promise_request& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
