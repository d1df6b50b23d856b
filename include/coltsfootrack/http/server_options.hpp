#ifndef COLTSFOOTRACK_HTTP_SERVER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_SERVER_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace coltsfootrack::http
{

// The address and limits of a server.
struct server_options
{
    // A numeric IPv4 address.
    std::string address = "127.0.0.1";
    // 0 lets the operating system choose; see server::port.
    std::uint16_t port = 0;
    // Each connection has a thread. A few connections above the limit are
    // answered with overloaded and closed, further ones are closed without an
    // answer.
    std::size_t max_connections = 256;
    // A longer body is answered with body_too_large.
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    // A connection without traffic for this time is closed. Must be longer than
    // client_options::max_idle_age of the callers.
    std::chrono::seconds idle_timeout{60};
    // The stack size of each connection thread.
    std::size_t thread_stack_bytes = std::size_t{256} << 10U;
};

} // namespace coltsfootrack::http

#endif
