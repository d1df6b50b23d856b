// Parsing and formatting of addresses.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/address.hpp>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>

namespace coltsfootrack::config
{
namespace
{

bool is_ip_address(int family, const std::string& host)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(family, host.c_str(), bytes.data()) == 1;
}

absl::Status invalid_address()
{
    return base::make_error(base::error_kind::invalid_settings,
                            "an address must be an IP number and a port");
}

} // namespace

absl::StatusOr<address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 ||
        text.find('\0') != std::string_view::npos)
    {
        return invalid_address();
    }
    address result;
    const bool bracketed =
        colon >= 2 && text.front() == '[' && text[colon - 1] == ']';
    result.host = std::string(bracketed ? text.substr(1, colon - 2)
                                        : text.substr(0, colon));
    if (!is_ip_address(bracketed ? AF_INET6 : AF_INET, result.host))
    {
        return invalid_address();
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), result.port);
    if (error != std::errc() || end != port.data() + port.size() ||
        result.port == 0)
    {
        return invalid_address();
    }
    return result;
}

std::string to_string(const address& value)
{
    return value.host.find(':') == std::string::npos
               ? fmt::format("{}:{}", value.host, value.port)
               : fmt::format("[{}]:{}", value.host, value.port);
}

} // namespace coltsfootrack::config
