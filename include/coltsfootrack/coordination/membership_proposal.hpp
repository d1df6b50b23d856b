#ifndef COLTSFOOTRACK_COORDINATION_MEMBERSHIP_PROPOSAL_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_MEMBERSHIP_PROPOSAL_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace coltsfootrack::coordination
{

// A commit that writes `members/config`. Conditions: the row has
// membership_version, and each listed session row has the given version. Only a
// proposer that is not a member sets session conditions; they keep a delayed
// commit from replacing a member that has come back.
struct membership_proposal
{
    std::uint64_t id = 0;
    std::uint64_t membership_version = 0;
    std::vector<base::daemon_id> members;
    std::map<base::daemon_id, std::uint64_t> session_versions;
};

} // namespace coltsfootrack::coordination

#endif
