// Addresses of HTTP servers.

#include <coltsfootrack/http/numeric_address.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>

namespace coltsfootrack::http
{
namespace
{

// Excludes what the conversions below would skip, such as white space and NUL.
bool is_address_character(unsigned char c)
{
    return absl::ascii_isdigit(c) || c == '.' || c == ':';
}

} // namespace

bool is_numeric_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    std::uint32_t port = 0;
    in_addr parsed{};
    if (colon == std::string::npos ||
        !std::all_of(address.begin(), address.end(), is_address_character))
    {
        return false;
    }
    return absl::SimpleAtoi(address.substr(colon + 1), &port) && port > 0 &&
           port <= 65535 &&
           inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1;
}

} // namespace coltsfootrack::http
