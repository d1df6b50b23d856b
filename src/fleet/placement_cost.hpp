#ifndef COLTSFOOTRACK_SRC_FLEET_PLACEMENT_COST_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_FLEET_PLACEMENT_COST_HPP_INCLUDED

namespace coltsfootrack::fleet
{

// Weights of the cost of a placement; lower costs go first. Each is above any
// sum of the ones before it, and the first above the thousandths of a core
// that a worker may leave free.

// Each accelerator left free.
constexpr double accelerator_cost = 1e6;
// A rack without the data of the task.
constexpr double far_cost = 1e8;
// The worker where the task failed or stood still last.
constexpr double avoided_cost = 1e9;

} // namespace coltsfootrack::fleet

#endif
