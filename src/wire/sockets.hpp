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

// A non-blocking socket that listens; invalid_settings if that fails.
absl::StatusOr<socket_handle> listen_on(const std::string& address,
                                        std::uint16_t port);

// The local port of a bound socket; 0 if it has none.
std::uint16_t local_port(const socket_handle& socket);

// A non-blocking socket whose connection is being made. It is closed by the
// system when sent data stays unacknowledged for the timeout. Not open on
// failure.
socket_handle start_connect(const std::string& address, std::uint16_t port,
                            std::chrono::milliseconds timeout);

// Whether the connection started by start_connect has been made.
bool connect_succeeded(const socket_handle& socket);

// The next connection of a listening socket, non-blocking; not open if there
// is none.
socket_handle accept_on(const socket_handle& listener);

} // namespace coltsfootrack::wire

#endif
