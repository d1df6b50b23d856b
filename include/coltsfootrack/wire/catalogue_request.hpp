#ifndef COLTSFOOTRACK_WIRE_CATALOGUE_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CATALOGUE_REQUEST_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::wire
{

// Asks a peer for its catalogue if it is newer than the sender's.
struct catalogue_request
{
    // The sender's version.
    std::uint64_t version = 0;
    // Whether the sender can read a compressed copy.
    bool accepts_compression = false;

    friend bool operator==(const catalogue_request& a,
                           const catalogue_request& b)
    {
        return a.version == b.version &&
               a.accepts_compression == b.accepts_compression;
    }

    friend bool operator!=(const catalogue_request& a,
                           const catalogue_request& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
