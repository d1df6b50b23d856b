#ifndef COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_SLOT_STRATEGY_HPP_INCLUDED

namespace coltsfootrack::routing
{

// How the router chooses among the nearest free runners. bench/measure_routing
// compares the strategies.
enum class slot_strategy
{
    // The runner with the most free slots in the local view; if it refuses as
    // full, the request goes to another runner.
    least_loaded,
    // Of two random runners, the one with more free slots in the local view.
    power_of_two,
    // Each daemon uses only its own part of each runner's slots.
    slot_leases,
    // A random runner; the baseline.
    random_choice
};

} // namespace coltsfootrack::routing

#endif
