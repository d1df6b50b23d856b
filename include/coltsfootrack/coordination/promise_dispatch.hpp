#ifndef COLTSFOOTRACK_COORDINATION_PROMISE_DISPATCH_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_PROMISE_DISPATCH_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/promise_request.hpp>

namespace coltsfootrack::coordination
{

// A promise request to send to one candidate.
struct promise_dispatch
{
    base::daemon_id candidate;
    promise_request request;
};

} // namespace coltsfootrack::coordination

#endif
