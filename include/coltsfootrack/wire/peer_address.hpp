#ifndef COLTSFOOTRACK_WIRE_PEER_ADDRESS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_ADDRESS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Where a peer listens.
struct peer_address
{
    base::daemon_id daemon;
    base::zone_id zone;
    // A numeric IPv4 or IPv6 address, without brackets.
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const peer_address& a, const peer_address& b)
    {
        return a.daemon == b.daemon && a.zone == b.zone &&
               a.address == b.address && a.port == b.port;
    }

    friend bool operator!=(const peer_address& a, const peer_address& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
