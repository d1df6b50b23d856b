#ifndef COLTSFOOTRACK_WIRE_HELLO_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_HELLO_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::wire
{

// The first message on each connection: identifies the daemon that opened it.
struct hello
{
    base::daemon_id daemon;
    // Differs for each start of the process, as in the session row.
    std::uint64_t incarnation = 0;
    base::zone_id zone;
    // The daemon can read compressed frames.
    bool accepts_compression = false;

    friend bool operator==(const hello& a, const hello& b)
    {
        return a.daemon == b.daemon && a.incarnation == b.incarnation &&
               a.zone == b.zone &&
               a.accepts_compression == b.accepts_compression;
    }

    friend bool operator!=(const hello& a, const hello& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
