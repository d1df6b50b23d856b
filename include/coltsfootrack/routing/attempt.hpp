#ifndef COLTSFOOTRACK_ROUTING_ATTEMPT_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_ATTEMPT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::routing
{

// One sending of a request to one runner.
struct attempt
{
    // Unique among all attempts of all daemons, 32 hexadecimal digits; sent as
    // X-Attempt-Id.
    std::string id;
    base::service_id service;
    base::runner_id runner;
    // The runner's address and port.
    std::string address;
    // How far the runner is: 0 own zone, 1 own region, 2 other region.
    std::uint32_t distance = 0;
    // Whether the runner is suspected and this attempt tests it.
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
