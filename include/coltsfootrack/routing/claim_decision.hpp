#ifndef COLTSFOOTRACK_ROUTING_CLAIM_DECISION_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_CLAIM_DECISION_HPP_INCLUDED

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/routing/idempotency_row.hpp>

#include <variant>

namespace coltsfootrack::routing
{

// Write the row, conditional on the version of the row that was read (0 if it
// was absent). After a conflict or a lost answer, read and decide again.
struct write_claim
{
    idempotency_row row;
};

// Send the request: the row already holds its claim, whose write took effect
// although the answer was lost.
struct claim_held
{
};

// Answer with the recorded outcome and send nothing.
struct replay_outcome
{
    idempotency_row row;
};

// Answer with the error and send nothing.
struct refuse_claim
{
    base::error_kind reason;
};

// What to do with a request that has an idempotency key.
using claim_decision =
    std::variant<write_claim, claim_held, replay_outcome, refuse_claim>;

} // namespace coltsfootrack::routing

#endif
