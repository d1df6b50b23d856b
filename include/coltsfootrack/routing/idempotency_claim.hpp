#ifndef COLTSFOOTRACK_ROUTING_IDEMPOTENCY_CLAIM_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_IDEMPOTENCY_CLAIM_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::routing
{

// A request's claim to its idempotency key.
struct idempotency_claim
{
    // Unique to this request at this daemon; the same for each retry of a claim
    // whose answer was lost.
    std::string token;
    base::daemon_id daemon;
    std::uint64_t incarnation = 0;
    // The result of content_hash.
    std::string content;
};

} // namespace coltsfootrack::routing

#endif
