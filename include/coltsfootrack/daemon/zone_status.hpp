#ifndef COLTSFOOTRACK_DAEMON_ZONE_STATUS_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_ZONE_STATUS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::daemon
{

// The last known state of a zone's owner, from its heartbeats or, if this
// daemon is the owner, from itself.
struct zone_status
{
    base::daemon_id owner;
    std::uint64_t epoch = 0;
    // Whether the owner reported that it may act.
    bool acting = false;
    // The booked part of the zone's workers, in thousandths.
    std::uint32_t load_permille = 0;
    base::time_point heard_at;
};

} // namespace coltsfootrack::daemon

#endif
