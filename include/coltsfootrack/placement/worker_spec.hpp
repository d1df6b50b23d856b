#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_SPEC_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_SPEC_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <tuple>

namespace coltsfootrack::placement
{

// A worker VM: its name, its rack and what it can hold.
struct worker_spec
{
    base::worker_id id;
    base::rack_id rack;
    base::resources capacity;

    friend bool operator==(const worker_spec& a, const worker_spec& b)
    {
        return std::tie(a.id, a.rack, a.capacity) ==
               std::tie(b.id, b.rack, b.capacity);
    }

    friend bool operator!=(const worker_spec& a, const worker_spec& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::placement

#endif
