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
    slot_strategy strategy = slot_strategy::power_of_two;
    // How long a runner's report of slots used by other daemons is believed.
    base::duration view_lifetime = std::chrono::milliseconds(500);
    // Connection failures in a row after which a runner is suspected.
    std::uint32_t suspicion_failures = 3;
    // The pause before a suspected runner gets one request as a probe. It
    // doubles with each failed probe up to the second value.
    base::duration probe_pause = std::chrono::milliseconds(500);
    base::duration max_probe_pause = std::chrono::seconds(8);
    // Attempts in flight to the other region, for all services together. The
    // link between regions is narrow and paid by volume.
    std::uint32_t max_far_attempts = 64;
};

} // namespace coltsfootrack::routing

#endif
