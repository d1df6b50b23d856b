#ifndef COLTSFOOTRACK_FLEET_SERVICE_ROUND_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_SERVICE_ROUND_HPP_INCLUDED

#include <coltsfootrack/fleet/worker_record.hpp>

#include <cstddef>
#include <vector>

namespace coltsfootrack::fleet
{

// The state of one service in one scheduling round.
struct service_round
{
    // The workers that accept tasks, ordered by id.
    std::vector<worker_record*> schedulable;
    // Per resource, an upper bound on the free capacity of any of them.
    base::resources max_room;
    // Whether worker_record::victims is filled in.
    bool victims_collected = false;
    // The same for worker_record::lasting_room and lasting_leftover.
    bool lasting_collected = false;
    // Some worker may have runs that this leader does not know of, so that
    // inherited jobs wait.
    bool runs_unknown = false;
    // The lease of such a worker may be in force, so that inherited standing
    // tasks wait as well.
    bool lease_possible = false;
    // Steps that could not be placed so far.
    std::size_t steps_without_room = 0;
    // Workers reserved for one step so far.
    std::size_t reserved_workers = 0;
};

} // namespace coltsfootrack::fleet

#endif
