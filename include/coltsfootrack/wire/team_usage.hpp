#ifndef COLTSFOOTRACK_WIRE_TEAM_USAGE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_TEAM_USAGE_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

namespace coltsfootrack::wire
{

// The resources that one team uses in one zone.
struct team_usage
{
    base::team_id team;
    base::resources used;

    friend bool operator==(const team_usage& a, const team_usage& b)
    {
        return a.team == b.team && a.used == b.used;
    }

    friend bool operator!=(const team_usage& a, const team_usage& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
