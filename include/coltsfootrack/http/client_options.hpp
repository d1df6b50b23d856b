#ifndef COLTSFOOTRACK_HTTP_CLIENT_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CLIENT_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstddef>

namespace coltsfootrack::http
{

// Timeouts and limits of a client.
struct client_options
{
    std::chrono::milliseconds connect_timeout{500};
    // From the start of a call to the complete answer.
    std::chrono::milliseconds total_timeout{5000};
    // A longer body is truncated and the answer counts as incomplete.
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
    // Connections kept open between calls; above it the least recently used
    // connection is closed.
    std::size_t max_idle_connections = 128;
    // A connection that was idle for longer is not reused. Shorter than the
    // idle timeout of the servers, so that a call does not use a connection
    // that the server is closing.
    std::chrono::seconds max_idle_age{20};
};

} // namespace coltsfootrack::http

#endif
