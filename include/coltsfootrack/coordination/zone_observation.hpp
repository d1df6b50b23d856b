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

// A consistent read of a zone's rows in the table by one of its daemons.
struct zone_observation
{
    // The time just before the read was sent.
    base::time_point sent;
    // The table sequence of the read. An observation with a lower sequence than
    // an earlier one is ignored.
    std::uint64_t sequence = 0;
    // The version of `owner/<zone>`; 0 if the row is absent.
    std::uint64_t owner_version = 0;
    owner_row owner;
    // All session rows of the zone, and the owner's.
    std::map<base::daemon_id, observed_session> sessions;
};

} // namespace coltsfootrack::coordination

#endif
