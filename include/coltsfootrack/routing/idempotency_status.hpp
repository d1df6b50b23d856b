#ifndef COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATUS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_IDEMPOTENCY_STATUS_HPP_INCLUDED

namespace coltsfootrack::routing
{

// The states of an idempotency row. An absent row has none.
enum class idempotency_status
{
    // An attempt may be running the request.
    claimed,
    // The request ran and its answer is recorded.
    done,
    // It is proved that the request did not run; the key may be claimed again.
    released,
    // The request may have run, and it will not be known.
    unknown
};

} // namespace coltsfootrack::routing

#endif
