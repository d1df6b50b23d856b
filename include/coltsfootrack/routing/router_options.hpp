#ifndef COLTSFOOTRACK_ROUTING_ROUTER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ROUTER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/routing/slot_strategy.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::routing
{

// Options of a router.
struct router_options
{
    // The location of the daemon.
    base::zone_id zone;
    base::region_id region;
    slot_strategy strategy = slot_strategy::least_loaded;
    // Over this time the slots that other daemons use, as a runner reported
    // them, decay to the average of the service, and over the same time again
    // to zero, so that a runner never stays full in the view for longer. With
    // 200 ms, 42% of simulated attempts are refused instead of 32% (8 daemons,
    // 35 runners, 90% load); up to 5 s little changes.
    base::duration view_lifetime = std::chrono::milliseconds(1000);
    // Connection failures in a row after which a runner is suspected: no
    // connection or a truncated answer. Time-outs do not count, since a slow
    // request proves nothing about the runner.
    std::uint32_t suspicion_failures = 3;
    // The pause before a suspected runner gets one request as a probe. It
    // doubles with each failed probe, up to max_probe_pause.
    base::duration probe_pause = std::chrono::milliseconds(500);
    base::duration max_probe_pause = std::chrono::seconds(8);
    // How long a runner that refused as leaving gets no requests although it is
    // listed as live: twice the lag of the platform's list. Limited, because a
    // runner may restart between two reads of the list.
    base::duration leaving_hold = std::chrono::seconds(10);
    // The maximum number of attempts in flight to the other region, over all
    // services. The link between regions is narrow and paid by volume.
    std::uint32_t max_cross_region_attempts = 64;
};

} // namespace coltsfootrack::routing

#endif
