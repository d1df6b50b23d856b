#ifndef COLTSFOOTRACK_FLEET_TEAM_POLICY_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_TEAM_POLICY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <tuple>

namespace coltsfootrack::fleet
{

// The share and the upper limit of a team.
struct team_policy
{
    base::team_id team;
    // The share under full load, in jobs per second.
    double weight = 0;
    // The most the team may have running across all workers; 0 means no limit.
    base::resources limit;

    friend bool operator==(const team_policy& a, const team_policy& b)
    {
        return std::tie(a.team, a.weight, a.limit) ==
               std::tie(b.team, b.weight, b.limit);
    }

    friend bool operator!=(const team_policy& a, const team_policy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
