#ifndef COLTSFOOTRACK_WIRE_CATALOGUE_COPY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CATALOGUE_COPY_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// The newest catalogue of the sender, for a peer that has an older one and may
// be unable to reach the store.
struct catalogue_copy
{
    std::uint64_t version = 0;
    // In the stored encoding, or if `compressed` the output of compress_text on
    // it.
    std::string document;
    bool compressed = false;
    // The version of its row in the store; 0 if unknown.
    std::uint64_t row_version = 0;

    friend bool operator==(const catalogue_copy& a, const catalogue_copy& b)
    {
        return a.version == b.version && a.document == b.document &&
               a.compressed == b.compressed && a.row_version == b.row_version;
    }

    friend bool operator!=(const catalogue_copy& a, const catalogue_copy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
