#ifndef COLTSFOOTRACK_ROUTING_RUNNER_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RUNNER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/routing/runner_state.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::routing
{

// One runner of a service, as the platform lists it.
struct runner
{
    base::runner_id id;
    base::zone_id zone;
    base::region_id region;
    // Numeric address and port.
    std::string address;
    // The number of requests that it can run at once.
    std::uint32_t slots = 0;
    runner_state state = runner_state::live;

    friend bool operator==(const runner& a, const runner& b)
    {
        return a.id == b.id && a.zone == b.zone && a.region == b.region &&
               a.address == b.address && a.slots == b.slots &&
               a.state == b.state;
    }

    friend bool operator!=(const runner& a, const runner& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::routing

#endif
