#ifndef COLTSFOOTRACK_FLEET_SERVICE_ROUND_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_SERVICE_ROUND_HPP_INCLUDED

#include <coltsfootrack/fleet/worker_record.hpp>

#include <cstddef>
#include <vector>

namespace coltsfootrack::fleet
{

// One service in one round of decisions.
struct service_round
{
    // The workers that take tasks, in the order of their ids.
    std::vector<worker_record*> open;
    // At least the room of each of them, by resource.
    base::resources most_room;
    // The victims of the workers are collected.
    bool victims_known = false;
    // A worker may run what nobody knows of yet, so that jobs of a former
    // leader wait.
    bool unsettled = false;
    // Steps that found no room so far.
    std::size_t unmet = 0;
    // Workers kept free so far.
    std::size_t kept = 0;
};

} // namespace coltsfootrack::fleet

#endif
