#ifndef COLTSFOOTRACK_CELL_FIRST_NONCE_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_FIRST_NONCE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// The nonce of the first question that a process sends to its peers: the wall
// time in microseconds. A daemon that was restarted under its name gets late
// answers to its former process. They match no question of the new one, since
// a daemon sends less than one question a microsecond; a wall clock that was
// set back in between voids that.
inline std::uint64_t first_nonce(const base::clock& clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            clock.wall().time_since_epoch())
            .count());
}

} // namespace coltsfootrack::cell

#endif
