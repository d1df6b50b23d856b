#ifndef COLTSFOOTRACK_CELL_FIRST_NONCE_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_FIRST_NONCE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <cstdint>

namespace coltsfootrack::cell
{

// The nonce of the first query that a process sends to its peers: the wall time
// in microseconds. A restarted daemon may receive late answers to its previous
// process. They match no query of the new one, since a daemon sends less than
// one query a microsecond, unless the wall clock was set back in between.
inline std::uint64_t first_nonce(const base::clock& clock)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            clock.wall().time_since_epoch())
            .count());
}

} // namespace coltsfootrack::cell

#endif
