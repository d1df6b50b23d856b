#ifndef COLTSFOOTRACK_COORDINATION_PROMISE_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_PROMISE_REQUEST_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::coordination
{

// A zone owner's request that a candidate not take over for
// timing::takeover_wait.
struct promise_request
{
    base::zone_id zone;
    base::daemon_id owner;
    std::uint64_t epoch = 0;
    // Identifies the request; the answer repeats it.
    std::uint64_t nonce = 0;
};

} // namespace coltsfootrack::coordination

#endif
