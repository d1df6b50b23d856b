#ifndef COLTSFOOTRACK_DAEMON_TABLE_VIEW_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_TABLE_VIEW_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/membership_row.hpp>
#include <coltsfootrack/coordination/observed_session.hpp>
#include <coltsfootrack/coordination/owner_row.hpp>
#include <coltsfootrack/store/read_result.hpp>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

namespace coltsfootrack::daemon
{

// The rows of one consistent read of the table, parsed for the agents.
struct table_view
{
    // A time before the read was sent.
    base::time_point sent_at;
    std::uint64_t sequence = 0;
    std::uint64_t owner_version = 0;
    coordination::owner_row owner;
    coordination::membership_row membership;
    std::uint64_t head_version = 0;
    std::uint64_t config_sequence = 0;
    // The session rows that were read.
    std::map<base::daemon_id, coordination::observed_session> sessions;
    // The same rows as stored. A successor that fences a session changes only
    // one field of its row.
    std::map<base::daemon_id, nlohmann::json> session_values;
};

// Parses the rows of a zone's poll. Malformed rows are logged and skipped.
table_view make_table_view(const store::read_result& rows,
                           const base::zone_id& zone);

// The JSON values of rows that daemons write.
nlohmann::json to_json(const coordination::owner_row& row);
nlohmann::json to_json(const coordination::membership_row& row);

} // namespace coltsfootrack::daemon

#endif
