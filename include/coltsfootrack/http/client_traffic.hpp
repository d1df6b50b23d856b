#ifndef COLTSFOOTRACK_HTTP_CLIENT_TRAFFIC_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CLIENT_TRAFFIC_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::http
{

// The bytes that a client sent and received in HTTP messages, without TCP and
// IP headers.
struct client_traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace coltsfootrack::http

#endif
