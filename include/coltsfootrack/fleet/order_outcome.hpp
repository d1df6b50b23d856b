#ifndef COLTSFOOTRACK_FLEET_ORDER_OUTCOME_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_ORDER_OUTCOME_HPP_INCLUDED

#include <cstddef>
#include <string_view>

namespace coltsfootrack::fleet
{

// What became of an order to a worker. Only `unknown` leaves open whether it
// was or will be carried out.
enum class order_outcome
{
    carried_out,
    // The worker has seen a higher fencing token.
    fenced,
    // The run is not higher than one that was stopped or ended there.
    old_run,
    // The lease in the order had already passed.
    late,
    // It does not fit.
    no_room,
    // The placement ticket is not valid.
    bad_ticket,
    // The address belongs to another worker by now.
    other_worker,
    // The worker refuses work for now.
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
