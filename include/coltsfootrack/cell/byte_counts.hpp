#ifndef COLTSFOOTRACK_CELL_BYTE_COUNTS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_BYTE_COUNTS_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::cell
{

// Bytes over a link, without TCP and IP headers.
struct byte_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;

    friend bool operator==(const byte_counts& a, const byte_counts& b)
    {
        return a.sent == b.sent && a.received == b.received;
    }

    friend bool operator!=(const byte_counts& a, const byte_counts& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::cell

#endif
