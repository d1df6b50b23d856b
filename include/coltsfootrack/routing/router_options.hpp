#ifndef COLTSFOOTRACK_ROUTING_ROUTER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ROUTER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/routing/slot_strategy.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::routing
{

// Settings of a router.
struct router_options
{
    // Where the daemon is.
    base::zone_id zone;
    base::region_id region;
    slot_strategy strategy = slot_strategy::least_loaded;
    // Within this time a runner's report of slots used by other daemons loses
    // its weight to the average of the service, and within the same time again
    // the average does, so that a runner never stays full in the view for
    // longer. At 200 ms 42% of the simulated sendings are refused instead of
    // 32% (8 daemons, 35 runners, 90% load); up to 5 s little changes.
    base::duration view_lifetime = std::chrono::milliseconds(1000);
    // Connection failures in a row after which a runner is suspected: no
    // connection, or a cut answer. Time-outs do not count, since a slow request
    // proves nothing about the runner.
    std::uint32_t suspicion_failures = 3;
    // The pause before a suspected runner gets one request as a probe. It
    // doubles with each failed probe up to the second value.
    base::duration probe_pause = std::chrono::milliseconds(500);
    base::duration max_probe_pause = std::chrono::seconds(8);
    // How long a runner that refused as leaving gets nothing, although it is
    // listed as live: twice the lag of the platform's list. It ends, because a
    // runner may restart between two readings of the list.
    base::duration leaving_hold = std::chrono::seconds(10);
    // Attempts in flight to the other region, for all services together. The
    // link between regions is narrow and paid by volume.
    std::uint32_t max_far_attempts = 64;
};

} // namespace coltsfootrack::routing

#endif
