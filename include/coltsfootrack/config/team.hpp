#ifndef COLTSFOOTRACK_CONFIG_TEAM_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TEAM_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::config
{

// The full state of a team, to which shares, limits and keys belong.
struct team
{
    base::team_id name;
    // The share of capacity under contention, relative to the weights of the
    // other teams; 1 to 1000000.
    std::uint32_t weight = 1;
    // The upper limit of resources in use across the whole fleet.
    base::resources limit;
    // A deleted team is not found and its keys are refused. Its row stays as a
    // tombstone, so that an older ticket cannot restore it.
    bool deleted = false;

    friend bool operator==(const team& a, const team& b)
    {
        return std::tie(a.name, a.weight, a.limit, a.deleted) ==
               std::tie(b.name, b.weight, b.limit, b.deleted);
    }

    friend bool operator!=(const team& a, const team& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
