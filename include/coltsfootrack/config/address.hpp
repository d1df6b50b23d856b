#ifndef COLTSFOOTRACK_CONFIG_ADDRESS_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_ADDRESS_HPP_INCLUDED

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfootrack::config
{

// A TCP address: an IP address and a port. Host names are not accepted, because
// processes connect to numeric addresses only.
struct address
{
    // IPv4 in dotted form or IPv6 without brackets.
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const address& a, const address& b)
    {
        return std::tie(a.host, a.port) == std::tie(b.host, b.port);
    }

    friend bool operator!=(const address& a, const address& b)
    {
        return !(a == b);
    }

    friend bool operator<(const address& a, const address& b)
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

// Parses "10.0.0.1:8080" or "[::1]:8080"; the port is 1 to 65535. Any other
// text gives invalid_settings.
absl::StatusOr<address> parse_address(std::string_view text);

// Formats an address; parse_address reads it back.
std::string to_string(const address& value);

} // namespace coltsfootrack::config

#endif
