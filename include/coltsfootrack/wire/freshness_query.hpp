#ifndef COLTSFOOTRACK_WIRE_FRESHNESS_QUERY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_FRESHNESS_QUERY_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::wire
{

// Asks a peer how current its configuration is.
struct freshness_query
{
    // Returned in the answer.
    std::uint64_t nonce = 0;

    friend bool operator==(const freshness_query& a, const freshness_query& b)
    {
        return a.nonce == b.nonce;
    }

    friend bool operator!=(const freshness_query& a, const freshness_query& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
