#ifndef COLTSFOOTRACK_ROUTING_ATTEMPT_OUTCOME_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ATTEMPT_OUTCOME_HPP_INCLUDED

namespace coltsfootrack::routing
{

// How an attempt ended.
enum class attempt_outcome
{
    // No byte of the request was sent: the connection could not be made.
    nothing_sent,
    // The runner stated that it did not run the request: 503 with
    // X-Refused: full or leaving.
    refused_full,
    refused_leaving,
    // At least part of the request was sent and no complete answer arrived in
    // time.
    timed_out,
    // At least part of the request was sent and the answer was cut off or
    // belongs to another attempt.
    truncated,
    // A complete answer arrived.
    complete
};

// Whether the outcome proves that the request did not run.
constexpr bool proves_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::nothing_sent ||
           outcome == attempt_outcome::refused_full ||
           outcome == attempt_outcome::refused_leaving;
}

} // namespace coltsfootrack::routing

#endif
