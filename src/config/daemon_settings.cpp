// Parsing of the daemon's settings.

#include "field_reader.hpp"
#include "json_text.hpp"

#include <coltsfootrack/config/daemon_settings.hpp>

#include <cstdint>
#include <fmt/format.h>
#include <set>

namespace coltsfootrack::config
{
namespace
{

using nlohmann::json;

constexpr std::int64_t max_connections = 10'000;
constexpr std::int64_t min_body_bytes = 1024;
constexpr std::int64_t max_body_bytes = 64LL * 1024 * 1024;
constexpr std::int64_t max_writes_per_second = 1000;
constexpr std::int64_t max_reads_per_second = 10'000;

peer_settings read_peer(const json& value, const std::string& path,
                        error_list& errors)
{
    field_reader reader(value, path, errors);
    peer_settings result;
    result.id = base::daemon_id(reader.name("id"));
    result.zone = base::zone_id(reader.name("zone"));
    result.region = base::region_id(reader.name("region"));
    result.peer_address = reader.endpoint("peer");
    result.http_address = reader.endpoint("http");
    reader.report_unknown_fields();
    return result;
}

void read_peers(field_reader& reader, daemon_settings& settings,
                error_list& errors)
{
    const json* peers = reader.array("peers", max_peers);
    if (peers == nullptr)
    {
        return;
    }
    std::set<base::daemon_id> ids = {settings.id};
    std::set<address> addresses = {settings.http_address,
                                   settings.peer_address};
    for (std::size_t i = 0; i < peers->size(); ++i)
    {
        const std::string path = fmt::format("peers[{}]", i);
        peer_settings peer = read_peer((*peers)[i], path, errors);
        if (!peer.id.empty() && !ids.insert(peer.id).second)
        {
            errors.add(path + ".id", "another daemon has this id");
        }
        // With a duplicate address this daemon would take its own answers, or
        // those of one peer, for those of another.
        if (peer.peer_address.port != 0 &&
            !addresses.insert(peer.peer_address).second)
        {
            errors.add(path + ".peer", "the address is already in use");
        }
        if (peer.http_address.port != 0 &&
            !addresses.insert(peer.http_address).second)
        {
            errors.add(path + ".http", "the address is already in use");
        }
        settings.peers.push_back(std::move(peer));
    }
}

void read_limits(const json& value, http_limits& limits, error_list& errors)
{
    field_reader reader(value, "limits", errors);
    limits.connections = static_cast<std::uint32_t>(
        reader.integer("connections", 1, max_connections, limits.connections));
    limits.body_bytes = static_cast<std::uint32_t>(reader.integer(
        "body_bytes", min_body_bytes, max_body_bytes, limits.body_bytes));
    reader.report_unknown_fields();
}

void read_store(const json& value, store_budget& store, error_list& errors)
{
    field_reader reader(value, "store", errors);
    store.writes_per_second = static_cast<std::uint32_t>(
        reader.integer("writes_per_second", 1, max_writes_per_second,
                       store.writes_per_second));
    store.reads_per_second = static_cast<std::uint32_t>(reader.integer(
        "reads_per_second", 1, max_reads_per_second, store.reads_per_second));
    reader.report_unknown_fields();
}

} // namespace

absl::StatusOr<daemon_settings> parse_settings(std::string_view text)
{
    error_list errors;
    const std::optional<json> value =
        parse_json(text, max_settings_bytes, errors);
    if (!value)
    {
        return errors.to_status(base::error_kind::invalid_settings);
    }
    daemon_settings result;
    field_reader reader(*value, "", errors);
    result.id = base::daemon_id(reader.name("id"));
    result.zone = base::zone_id(reader.name("zone"));
    result.region = base::region_id(reader.name("region"));
    result.http_address = reader.endpoint("http");
    result.peer_address = reader.endpoint("peer");
    if (result.http_address.port != 0 &&
        result.http_address == result.peer_address)
    {
        reader.add_error("peer", "must differ from \"http\"");
    }
    result.platform_address = reader.endpoint("platform");
    result.log_level = static_cast<base::log_level>(
        reader.choice("log_level", {"debug", "info", "warning", "error"},
                      static_cast<std::size_t>(result.log_level)));
    read_peers(reader, result, errors);
    if (const json* limits = reader.optional_object("limits"))
    {
        read_limits(*limits, result.limits, errors);
    }
    if (const json* store = reader.optional_object("store"))
    {
        read_store(*store, result.store, errors);
    }
    reader.report_unknown_fields();
    if (!errors.empty())
    {
        return errors.to_status(base::error_kind::invalid_settings);
    }
    return result;
}

} // namespace coltsfootrack::config
