// Conversion between table rows and the types of coordination.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/table_view.hpp>
#include <coltsfootrack/store/session_row.hpp>

#include <string>

namespace coltsfootrack::daemon
{
namespace
{

constexpr std::string_view session_prefix = "session/";

std::vector<base::daemon_id> read_daemons(const nlohmann::json& value)
{
    std::vector<base::daemon_id> daemons;
    for (const auto& name : value)
    {
        daemons.emplace_back(name.get<std::string>());
    }
    return daemons;
}

nlohmann::json write_daemons(const std::vector<base::daemon_id>& daemons)
{
    auto value = nlohmann::json::array();
    for (const base::daemon_id& daemon : daemons)
    {
        value.push_back(daemon.text());
    }
    return value;
}

void add_session(const store::row& row, table_view& view)
{
    const base::daemon_id daemon(row.key.substr(session_prefix.size()));
    const auto session = store::session_row::from_json(row.value);
    if (!session.ok())
    {
        base::log(base::log_level::warning, "store",
                  "Session row is malformed. key={}", row.key);
        return;
    }
    view.sessions[daemon] = {
        row.version,
        {session->incarnation, base::zone_id(session->zone), session->address,
         session->counter, session->token, session->fenced}};
    view.session_values[daemon] = row.value;
}

void add_owner(const store::row& row, table_view& view)
{
    view.owner_version = row.version;
    view.owner.epoch = row.value.at("epoch").get<std::uint64_t>();
    view.owner.daemon =
        base::daemon_id(row.value.at("daemon").get<std::string>());
    view.owner.incarnation = row.value.at("incarnation").get<std::string>();
    view.owner.candidates = read_daemons(row.value.at("candidates"));
}

void add_row(const store::row& row, const base::zone_id& zone, table_view& view)
{
    if (row.key.compare(0, session_prefix.size(), session_prefix) == 0)
    {
        add_session(row, view);
    }
    else if (row.key == "owner/" + zone.text())
    {
        add_owner(row, view);
    }
    else if (row.key == "members/config")
    {
        view.membership.version = row.version;
        view.membership.members = read_daemons(row.value.at("members"));
    }
    else if (row.key == "config/head")
    {
        view.head_version = row.version;
        view.config_sequence = row.value.at("sequence").get<std::uint64_t>();
    }
}

} // namespace

table_view make_table_view(const store::read_result& rows,
                           const base::zone_id& zone)
{
    table_view view;
    view.sent_at = rows.sent_at;
    view.sequence = rows.sequence;
    for (const store::row& row : rows.rows)
    {
        try
        {
            add_row(row, zone, view);
        }
        catch (const nlohmann::json::exception&)
        {
            base::log(base::log_level::warning, "store",
                      "Row is malformed. key={}", row.key);
        }
    }
    return view;
}

nlohmann::json to_json(const coordination::owner_row& row)
{
    return {{"epoch", row.epoch},
            {"daemon", row.daemon.text()},
            {"incarnation", row.incarnation},
            {"candidates", write_daemons(row.candidates)}};
}

nlohmann::json to_json(const coordination::membership_row& row)
{
    return {{"members", write_daemons(row.members)}};
}

} // namespace coltsfootrack::daemon
