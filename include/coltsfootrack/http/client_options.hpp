#ifndef COLTSFOOTRACK_HTTP_CLIENT_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CLIENT_OPTIONS_HPP_INCLUDED

#include <chrono>
#include <cstddef>

namespace coltsfootrack::http
{

// The limits of a client.
struct client_options
{
    std::chrono::milliseconds connect_timeout{500};
    // From the start of a call to the complete answer.
    std::chrono::milliseconds total_timeout{5000};
    // A longer answer is cut off and counts as incomplete.
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
    // Connections kept open between calls; above it the connection that was
    // used longest ago is closed.
    std::size_t max_idle_connections = 128;
    // An idle connection that is older is not used again. Shorter than the idle
    // timeout of the servers, so that a call does not meet a connection that
    // the server is closing.
    std::chrono::seconds max_idle_age{20};
};

} // namespace coltsfootrack::http

#endif
