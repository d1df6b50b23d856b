#ifndef COLTSFOOTRACK_CONFIG_HTTP_LIMITS_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_HTTP_LIMITS_HPP_INCLUDED

#include <cstdint>
#include <tuple>

namespace coltsfootrack::config
{

// Limits of a daemon's HTTP server.
struct http_limits
{
    // Open connections, 1 to 10000. Each one has a thread; the default fits
    // the memory of a small entry VM.
    std::uint32_t connections = 256;
    // Bytes of one request body, 1024 to 64 MiB.
    std::uint32_t body_bytes = 1024 * 1024;

    friend bool operator==(const http_limits& a, const http_limits& b)
    {
        return std::tie(a.connections, a.body_bytes) ==
               std::tie(b.connections, b.body_bytes);
    }

    friend bool operator!=(const http_limits& a, const http_limits& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
