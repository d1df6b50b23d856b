#ifndef COLTSFOOTRACK_CONFIG_PEER_SETTINGS_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_PEER_SETTINGS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/config/address.hpp>

#include <tuple>

namespace coltsfootrack::config
{

// Identity and addresses of another daemon, from the settings of this one.
struct peer_settings
{
    base::daemon_id id;
    base::zone_id zone;
    base::region_id region;
    // Where it accepts frames from other daemons.
    address peer_address;
    // Where it accepts HTTP requests.
    address http_address;

    friend bool operator==(const peer_settings& a, const peer_settings& b)
    {
        return std::tie(a.id, a.zone, a.region, a.peer_address,
                        a.http_address) ==
               std::tie(b.id, b.zone, b.region, b.peer_address, b.http_address);
    }

    friend bool operator!=(const peer_settings& a, const peer_settings& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
