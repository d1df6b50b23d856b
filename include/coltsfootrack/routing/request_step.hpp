#ifndef COLTSFOOTRACK_ROUTING_REQUEST_STEP_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_REQUEST_STEP_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/execution.hpp>

#include <optional>
#include <variant>

namespace coltsfootrack::routing
{

// Claim the idempotency row, then call claim_succeeded or claim_failed.
struct claim_step
{
};

// Pick a runner and send the request. Then call attempt_ended, or no_runner if
// the router found none.
struct send_step
{
};

// Do nothing until the time, then call wait_ended.
struct wait_step
{
    base::time_point until;
};

// Answer the caller; without an error, with the answer of the last attempt.
// The answer states `ran`, which claims no more than is proved and matches the
// table of error kinds.
struct final_step
{
    std::optional<base::error_kind> error;
    base::execution ran = base::execution::unknown;
};

// The next step of a request.
using request_step = std::variant<claim_step, send_step, wait_step, final_step>;

} // namespace coltsfootrack::routing

#endif
