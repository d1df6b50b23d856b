#ifndef COLTSFOOTRACK_COORDINATION_ZONE_OBSERVATION_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ZONE_OBSERVATION_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/observed_session.hpp>
#include <coltsfootrack/coordination/owner_row.hpp>

#include <cstdint>
#include <map>

namespace coltsfootrack::coordination
{

// One consistent read of the table by a daemon of the zone.
struct zone_observation
{
    // The time before the read was sent.
    base::time_point sent;
    // The table sequence of the read. Observations with a lower sequence than
    // an earlier one are ignored.
    std::uint64_t sequence = 0;
    // The version of `owner/<zone>`; 0 if the row is absent.
    std::uint64_t owner_version = 0;
    owner_row owner;
    // All session rows of the zone, and that of the owner.
    std::map<base::daemon_id, observed_session> sessions;
};

} // namespace coltsfootrack::coordination

#endif
