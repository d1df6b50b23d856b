#ifndef COLTSFOOTRACK_WIRE_WORKER_CALL_KIND_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_WORKER_CALL_KIND_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::wire
{

// The kinds of worker_call: a lease renewal or one of the orders.
enum class worker_call_kind : std::uint8_t
{
    renew,
    start,
    stop,
    pace
};

} // namespace coltsfootrack::wire

#endif
