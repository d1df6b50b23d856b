#ifndef COLTSFOOTRACK_CELL_PEER_TIME_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PEER_TIME_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <algorithm>
#include <chrono>

namespace coltsfootrack::cell
{

// A time of this VM's monotonic clock as messages carry it. Only the VM that it
// comes from can interpret it.
inline std::chrono::milliseconds to_peer_time(base::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        time.time_since_epoch());
}

// The reverse of to_peer_time; a value out of range becomes the nearest time.
inline base::time_point from_peer_time(std::chrono::milliseconds time)
{
    using std::chrono::milliseconds;
    constexpr auto least = std::chrono::duration_cast<milliseconds>(
        base::time_point::min().time_since_epoch());
    constexpr auto most = std::chrono::duration_cast<milliseconds>(
        base::time_point::max().time_since_epoch());
    return base::time_point(std::clamp(time, least, most));
}

} // namespace coltsfootrack::cell

#endif
