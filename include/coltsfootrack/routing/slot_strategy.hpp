#ifndef COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED

namespace coltsfootrack::routing
{

// How the router chooses among the free runners of the nearest choice.
// bench/measure_routing compares them.
enum class slot_strategy
{
    // The freer of two random runners on the local view; a runner that is full
    // refuses, and the request goes elsewhere.
    power_of_two,
    // Each daemon uses only its own part of each runner's slots.
    slot_leases,
    // Any random runner; the baseline.
    random_choice
};

} // namespace coltsfootrack::routing

#endif
