#ifndef COLTSFOOTRACK_FLEET_ORDER_OUTCOME_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_ORDER_OUTCOME_HPP_INCLUDED

#include <cstddef>
#include <string_view>

namespace coltsfootrack::fleet
{

// The outcome of an order to a worker. Only with `unknown` may the order have
// been executed, or be executed later, without this daemon's knowledge.
enum class order_outcome
{
    carried_out,
    // The worker has seen a higher fencing token.
    fenced,
    // The run number is not higher than one that was stopped or ended there.
    old_run,
    // The lease in the order had already expired.
    late,
    // The worker lacks free capacity.
    no_room,
    // The placement ticket is not valid.
    bad_ticket,
    // The address now belongs to another worker.
    other_worker,
    // The worker refuses all work for now, or could not be connected to;
    // nothing was executed.
    unhealthy,
    // Any other refusal.
    refused,
    unknown
};

constexpr std::size_t order_outcome_count = 10;

// The name in log lines and metrics, for example "bad_ticket".
std::string_view name_of(order_outcome outcome);

} // namespace coltsfootrack::fleet

#endif
