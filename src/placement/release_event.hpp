#ifndef COLTSFOOTRACK_PLACEMENT_RELEASE_EVENT_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_RELEASE_EVENT_HPP_INCLUDED

#include "handle.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::placement
{

// The expected end of a task, used to plan reservations.
struct release_event
{
    base::time_point when;
    std::uint64_t serial = 0;
    handle worker = no_handle;
    base::resources size;

    friend bool operator<(const release_event& a, const release_event& b)
    {
        return std::tie(a.when, a.serial) < std::tie(b.when, b.serial);
    }
};

} // namespace coltsfootrack::placement

#endif
