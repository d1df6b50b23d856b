#ifndef COLTSFOOTRACK_CONFIG_TEAM_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TEAM_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::config
{

// The whole state of a team: the unit of shares, limits and keys.
struct team
{
    base::team_id name;
    // The share when everything is full, in proportion to the weights of the
    // other teams; 1 to 1000000.
    std::uint32_t weight = 1;
    // The most that the team may have running across the whole fleet.
    base::resources limit;
    // A deleted team is not found, its keys are refused, and the row stays so
    // that an older ticket cannot bring it back.
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
