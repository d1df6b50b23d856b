#ifndef COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED

namespace coltsfootrack::routing
{

// How the router chooses among the runners of the nearest choice.
// bench/measure_routing compares them.
enum class slot_strategy
{
    // The freest runner in the local view; a runner that is full refuses, and
    // the request goes elsewhere.
    least_loaded,
    // The freer of two random runners in the same view.
    power_of_two,
    // Each daemon uses only its own part of each runner's slots.
    slot_leases,
    // Any random runner; the baseline.
    random_choice
};

} // namespace coltsfootrack::routing

#endif
