#ifndef COLTSFOOTRACK_SRC_FLEET_PLACEMENT_COST_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_FLEET_PLACEMENT_COST_HPP_INCLUDED

namespace coltsfootrack::fleet
{

// Weights of the cost of a placement; the lowest cost wins. Compared are, in
// this order, avoided worker, rack without the data, idle accelerators and free
// CPU: each weight exceeds any sum of the ones before it, and the first exceeds
// the thousandths of a core that a worker can have free.

// For each accelerator left free.
constexpr double idle_accelerator_cost = 1e6;
// For a rack without the data of the task.
constexpr double remote_data_cost = 1e8;
// For the worker where the task last failed or stalled.
constexpr double avoided_cost = 1e9;

} // namespace coltsfootrack::fleet

#endif
