#ifndef COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATUS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATUS_HPP_INCLUDED

namespace coltsfootrack::routing
{

// The status of an idempotency row.
enum class idempotency_status
{
    // An attempt may be running the request.
    claimed,
    // The request ran and its answer is recorded.
    done,
    // The request is proved not to have run; the key may be claimed again.
    released,
    // The request may have run, and its outcome will never be known.
    unknown
};

} // namespace coltsfootrack::routing

#endif
