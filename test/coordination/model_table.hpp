#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_TABLE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_TABLE_HPP_INCLUDED

#include <coltsfootrack/coordination/listed_daemon.hpp>
#include <coltsfootrack/coordination/membership_row.hpp>
#include <coltsfootrack/coordination/observed_session.hpp>
#include <coltsfootrack/coordination/owner_row.hpp>
#include <coltsfootrack/coordination/quota_row.hpp>

#include <cstdint>
#include <map>
#include <vector>

namespace coltsfootrack::coordination
{

// The platform's table, reduced to the rows that the simulation needs.
struct model_table
{
    // The sequence of the last commit; also the version of the rows it wrote.
    std::uint64_t sequence = 0;
    std::map<base::daemon_id, observed_session> sessions;
    std::map<base::zone_id, std::uint64_t> owner_versions;
    std::map<base::zone_id, owner_row> owners;
    membership_row membership;
    // The configuration: its sequence, and the limit of the only team.
    std::uint64_t head = 0;
    base::resources limit;
    std::uint64_t limit_version = 0;
    quota_row quota;
    // The VM list: not a row, but read together with the table.
    std::vector<listed_daemon> listed;

    std::uint64_t session_version(const base::daemon_id& daemon) const
    {
        const auto found = sessions.find(daemon);
        return found == sessions.end() ? 0 : found->second.version;
    }

    std::uint64_t owner_version(const base::zone_id& zone) const
    {
        const auto found = owner_versions.find(zone);
        return found == owner_versions.end() ? 0 : found->second;
    }
};

} // namespace coltsfootrack::coordination

#endif
