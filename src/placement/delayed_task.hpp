#ifndef COLTSFOOTRACK_PLACEMENT_DELAYED_TASK_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_DELAYED_TASK_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::placement
{

// A failed task that is queued again when its backoff ends. The sequence
// number tells whether the handle still means the same job.
struct delayed_task
{
    base::time_point due;
    std::uint64_t sequence = 0;
    std::uint32_t index = 0;
    handle job = no_handle;

    // Orders by time, then by job and index.
    friend bool operator>(const delayed_task& a, const delayed_task& b)
    {
        return std::tie(a.due, a.sequence, a.index) >
               std::tie(b.due, b.sequence, b.index);
    }
};

} // namespace coltsfootrack::placement

#endif
