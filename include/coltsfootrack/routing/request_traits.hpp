#ifndef COLTSFOOTRACK_ROUTING_REQUEST_TRAITS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_REQUEST_TRAITS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <cstdint>

namespace coltsfootrack::routing
{

// The properties of a request that request_flow depends on.
struct request_traits
{
    // Whether running the request twice has the same effect as running it once.
    bool idempotent = false;
    // Whether an idempotency row must be claimed before anything is sent.
    bool needs_claim = false;
    // The time after which the caller no longer waits for an answer.
    base::time_point deadline;
    // The maximum number of attempts, not counting those refused as full.
    std::uint32_t max_attempts = 4;
};

} // namespace coltsfootrack::routing

#endif
