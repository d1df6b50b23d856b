#ifndef COLTSFOOTRACK_PLACEMENT_FIT_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_FIT_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <algorithm>
#include <cstdint>

namespace coltsfootrack::placement
{

// Whether the room holds what is asked for. A resource that is not asked for
// does not matter, even if the room in it is below zero.
inline bool holds(const base::resources& room, const base::resources& size)
{
    return (size.cpu_milli == 0 || size.cpu_milli <= room.cpu_milli) &&
           (size.memory_mb == 0 || size.memory_mb <= room.memory_mb) &&
           (size.accelerators == 0 || size.accelerators <= room.accelerators);
}

// How often the size fits in the room, at most limit times.
inline std::int64_t times_in(const base::resources& room,
                             const base::resources& size, std::int64_t limit)
{
    std::int64_t times = limit;
    const auto bound = [&times](std::int64_t available, std::int64_t needed)
    {
        if (needed > 0)
        {
            times = std::min(times, available < 0 ? 0 : available / needed);
        }
    };
    bound(room.cpu_milli, size.cpu_milli);
    bound(room.memory_mb, size.memory_mb);
    bound(room.accelerators, size.accelerators);
    return times;
}

// The part of each resource that is above zero.
inline base::resources positive(const base::resources& value)
{
    return {std::max<std::int64_t>(value.cpu_milli, 0),
            std::max<std::int64_t>(value.memory_mb, 0),
            std::max<std::int64_t>(value.accelerators, 0)};
}

// Whether giving back the size helps to make up what is missing.
inline bool helps(const base::resources& missing, const base::resources& size)
{
    return (missing.cpu_milli > 0 && size.cpu_milli > 0) ||
           (missing.memory_mb > 0 && size.memory_mb > 0) ||
           (missing.accelerators > 0 && size.accelerators > 0);
}

} // namespace coltsfootrack::placement

#endif
