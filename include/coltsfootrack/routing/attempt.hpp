#ifndef COLTSFOOTRACK_ROUTING_ATTEMPT_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ATTEMPT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::routing
{

// One attempt to have a request run by one runner.
struct attempt
{
    // 32 hexadecimal digits, unique among all attempts of all daemons; sent as
    // X-Attempt-Id.
    std::string id;
    base::service_id service;
    base::runner_id runner;
    // The runner's address and port.
    std::string address;
    // The runner's distance: 0 own zone, 1 own region, 2 other region.
    std::uint32_t distance = 0;
    // Whether this attempt probes a suspected runner.
    bool probe = false;

    friend bool operator==(const attempt& a, const attempt& b)
    {
        return a.id == b.id && a.service == b.service && a.runner == b.runner &&
               a.address == b.address && a.distance == b.distance &&
               a.probe == b.probe;
    }

    friend bool operator!=(const attempt& a, const attempt& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::routing

#endif
