#ifndef COLTSFOOTRACK_COORDINATION_OWNERSHIP_PROPOSAL_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OWNERSHIP_PROPOSAL_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/owner_row.hpp>
#include <coltsfootrack/coordination/ownership_change.hpp>
#include <coltsfootrack/coordination/session_fence.hpp>

#include <cstdint>
#include <optional>

namespace coltsfootrack::coordination
{

// A commit that zone_ownership asks for. Conditions: `owner/<zone>` has
// owner_version, and the fence's condition if present. Like every commit, it
// also carries the condition and the write of the proposer's own session row.
struct ownership_proposal
{
    // Passed to zone_ownership::proposal_applied or proposal_rejected.
    std::uint64_t id = 0;
    ownership_change change = ownership_change::take_over;
    base::zone_id zone;
    std::uint64_t owner_version = 0;
    // The row to write.
    owner_row row;
    std::optional<session_fence> fence;
};

} // namespace coltsfootrack::coordination

#endif
