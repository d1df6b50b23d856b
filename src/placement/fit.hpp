#ifndef COLTSFOOTRACK_PLACEMENT_FIT_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_FIT_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <algorithm>
#include <cstdint>

namespace coltsfootrack::placement
{

// Whether a task of the size fits in the room. A resource that the task does
// not need is ignored, even if the room in it is negative.
inline bool can_fit(const base::resources& room, const base::resources& size)
{
    return (size.cpu_milli == 0 || size.cpu_milli <= room.cpu_milli) &&
           (size.memory_mb == 0 || size.memory_mb <= room.memory_mb) &&
           (size.accelerators == 0 || size.accelerators <= room.accelerators);
}

// How many tasks of the size fit in the room, at most limit.
inline std::int64_t fit_count(const base::resources& room,
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

// The value with negative amounts replaced by zero.
inline base::resources positive_part(const base::resources& value)
{
    return {std::max<std::int64_t>(value.cpu_milli, 0),
            std::max<std::int64_t>(value.memory_mb, 0),
            std::max<std::int64_t>(value.accelerators, 0)};
}

// Whether releasing the size would reduce what is missing.
inline bool reduces_shortage(const base::resources& missing,
                             const base::resources& size)
{
    return (missing.cpu_milli > 0 && size.cpu_milli > 0) ||
           (missing.memory_mb > 0 && size.memory_mb > 0) ||
           (missing.accelerators > 0 && size.accelerators > 0);
}

} // namespace coltsfootrack::placement

#endif
