#ifndef COLTSFOOTRACK_WIRE_SOCKETS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_SOCKETS_HPP_INCLUDED

#include "socket_handle.hpp"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Whether the text is a numeric IPv4 or IPv6 address.
bool is_numeric_address(const std::string& address);

// A non-blocking listening socket; invalid_settings on failure.
absl::StatusOr<socket_handle> listen_on(const std::string& address,
                                        std::uint16_t port);

// The local port of a bound socket; 0 if it has none.
std::uint16_t local_port(const socket_handle& socket);

// Starts to connect a non-blocking socket; not open on failure, whose error
// number is stored in `error`. The system closes the connection when sent data
// stays unacknowledged for the timeout.
socket_handle start_connect(const std::string& address, std::uint16_t port,
                            std::chrono::milliseconds timeout, int& error);

// The error number of the connection started by start_connect; 0 if it was
// established.
int connect_error(const socket_handle& socket);

// Accepts the next connection as a non-blocking socket; not open if there is
// none.
socket_handle accept_on(const socket_handle& listener);

} // namespace coltsfootrack::wire

#endif
