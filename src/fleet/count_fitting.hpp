#ifndef COLTSFOOTRACK_SRC_FLEET_COUNT_FITTING_HPP_INCLUDED
#define COLTSFOOTRACK_SRC_FLEET_COUNT_FITTING_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <algorithm>
#include <cstdint>

namespace coltsfootrack::fleet
{

// How many tasks of size `need` fit into `room`, at most `most`.
inline int count_fitting(const base::resources& room,
                         const base::resources& need, int most)
{
    if (!need.fits_in(room))
    {
        return 0;
    }
    const auto fitting = [most](std::int64_t free, std::int64_t each)
    {
        return each > 0 ? free / each : std::int64_t(most);
    };
    return static_cast<int>(
        std::min({std::int64_t(most), fitting(room.cpu_milli, need.cpu_milli),
                  fitting(room.memory_mb, need.memory_mb),
                  fitting(room.accelerators, need.accelerators)}));
}

} // namespace coltsfootrack::fleet

#endif
