#ifndef COLTSFOOTRACK_PLACEMENT_TEAM_POLICY_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TEAM_POLICY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::placement
{

// What operators decide about a team, as far as placement needs it.
struct team_policy
{
    base::team_id id;
    // The weight in the fair share; values below 1 count as 1.
    std::int64_t weight = 1;
    // The upper limit over the whole fleet. A job that cannot run within it is
    // impossible. What may run in this zone is the slice given to set_quota.
    base::resources limit;

    friend bool operator==(const team_policy& a, const team_policy& b)
    {
        return std::tie(a.id, a.weight, a.limit) ==
               std::tie(b.id, b.weight, b.limit);
    }

    friend bool operator!=(const team_policy& a, const team_policy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::placement

#endif
