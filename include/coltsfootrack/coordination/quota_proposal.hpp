#ifndef COLTSFOOTRACK_COORDINATION_QUOTA_PROPOSAL_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_QUOTA_PROPOSAL_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootrack::coordination
{

// A commit that writes `quota/<team>`. Conditions: the row has row_version,
// and if limit_version is present, the team's configuration row has it.
struct quota_proposal
{
    std::uint64_t id = 0;
    base::team_id team;
    std::uint64_t row_version = 0;
    // Present if any amount of this zone's slice is raised.
    std::optional<std::uint64_t> limit_version;
    // The whole row to write; only this zone's slice differs.
    std::map<base::zone_id, base::resources> slices;
};

} // namespace coltsfootrack::coordination

#endif
