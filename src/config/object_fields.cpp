// Conversion of ticket objects from and to JSON.

#include "object_fields.hpp"

#include "field_reader.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <fmt/format.h>
#include <set>
#include <string_view>

namespace coltsfootrack::config
{
namespace
{

using nlohmann::json;

constexpr std::int64_t max_weight = 1'000'000;
constexpr std::int64_t max_tasks = 10'000;
constexpr std::int64_t max_run_ms = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t max_timeout_ms = 10LL * 60 * 1000;
constexpr std::int64_t max_request_bytes = 64LL * 1024 * 1024;
constexpr std::size_t max_service_teams = 100;
constexpr std::size_t hash_digits = 64;
constexpr std::size_t salt_digits = 32;

// Any number of tasks without a CPU or memory request would fit on a worker.
constexpr base::resources min_per_task{1, 1, 0};

constexpr std::array<std::string_view, 3> workload_kinds = {"service", "batch",
                                                            "gang"};
constexpr std::array<std::string_view, 2> key_states = {"granted", "withdrawn"};

// Indexed by the alternatives of ticket_object.
constexpr std::array<std::string_view, 5> object_types = {
    "team", "key", "workload", "service", "queue"};

template <std::size_t Count>
std::vector<std::string_view>
choices(const std::array<std::string_view, Count>& names)
{
    return {names.begin(), names.end()};
}

json write_resources(const base::resources& value)
{
    return {{"cpu_milli", value.cpu_milli},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
}

team read_team(field_reader& reader)
{
    team result;
    result.name = base::team_id(reader.name("name"));
    result.weight =
        static_cast<std::uint32_t>(reader.integer("weight", 1, max_weight));
    result.limit = reader.resource_amounts("limit", base::resources{});
    result.deleted = reader.optional_bool("deleted");
    return result;
}

json write(const team& value)
{
    return {{"name", value.name.text()},
            {"weight", value.weight},
            {"limit", write_resources(value.limit)},
            {"deleted", value.deleted}};
}

team_key read_key(field_reader& reader)
{
    team_key result;
    result.name = reader.name("name");
    result.team = base::team_id(reader.name("team"));
    result.hash = reader.hex("hash", hash_digits);
    result.salt = reader.hex("salt", salt_digits);
    result.state =
        static_cast<key_state>(reader.choice("state", choices(key_states)));
    return result;
}

json write(const team_key& value)
{
    return {{"name", value.name},
            {"team", value.team.text()},
            {"hash", value.hash},
            {"salt", value.salt},
            {"state", key_states[static_cast<std::size_t>(value.state)]}};
}

workload read_workload(field_reader& reader)
{
    workload result;
    result.name = base::workload_id(reader.name("name"));
    result.team = base::team_id(reader.name("team"));
    result.open = reader.optional_bool("open");
    result.queue = reader.optional_name("queue");
    result.kind = static_cast<workload_kind>(
        reader.choice("kind", choices(workload_kinds)));
    result.per_task = reader.resource_amounts("per_task", min_per_task);
    result.tasks =
        static_cast<std::uint32_t>(reader.integer("tasks", 1, max_tasks));
    // Only a service may run indefinitely.
    result.run_time = std::chrono::milliseconds(
        result.kind == workload_kind::service
            ? reader.integer("run_ms", 0, max_run_ms, 0)
            : reader.integer("run_ms", 1, max_run_ms));
    result.exclusive = reader.optional_bool("exclusive");
    result.urgent = reader.optional_bool("urgent");
    result.deleted = reader.optional_bool("deleted");
    return result;
}

json write(const workload& value)
{
    json result = {
        {"name", value.name.text()},
        {"team", value.team.text()},
        {"open", value.open},
        {"kind", workload_kinds[static_cast<std::size_t>(value.kind)]},
        {"per_task", write_resources(value.per_task)},
        {"tasks", value.tasks},
        {"run_ms", value.run_time.count()},
        {"exclusive", value.exclusive},
        {"urgent", value.urgent},
        {"deleted", value.deleted}};
    if (!value.queue.empty())
    {
        result["queue"] = value.queue;
    }
    return result;
}

std::vector<base::team_id> read_teams(field_reader& reader, error_list& errors)
{
    std::set<base::team_id> result;
    const json* teams = reader.array("teams", max_service_teams);
    for (std::size_t i = 0; teams != nullptr && i < teams->size(); ++i)
    {
        const json& each = (*teams)[i];
        const std::string path =
            fmt::format("{}[{}]", reader.path_of("teams"), i);
        if (!each.is_string() || !is_name(each.get_ref<const std::string&>()))
        {
            errors.add(path, "must be the name of a team");
        }
        else if (!result.insert(base::team_id(each.get<std::string>())).second)
        {
            errors.add(path, "the team occurs twice");
        }
    }
    return {result.begin(), result.end()};
}

service read_service(field_reader& reader, error_list& errors)
{
    service result;
    result.name = base::service_id(reader.name("name"));
    result.open = reader.optional_bool("open");
    if (reader.has("teams"))
    {
        result.teams = read_teams(reader, errors);
    }
    if (result.open == reader.has("teams"))
    {
        reader.add_error("teams", "a service has either \"teams\" or "
                                  "\"open\": true");
    }
    else if (!result.open && reader.is_empty_array("teams"))
    {
        reader.add_error("teams", "must name at least one team");
    }
    result.queue = reader.optional_name("queue");
    result.idempotent = reader.required_bool("idempotent");
    result.timeout = std::chrono::milliseconds(
        reader.integer("timeout_ms", 1, max_timeout_ms));
    result.body_limit_bytes = static_cast<std::uint32_t>(
        reader.integer("body_limit_bytes", 1, max_request_bytes));
    result.deleted = reader.optional_bool("deleted");
    return result;
}

json write(const service& value)
{
    json result = {{"name", value.name.text()},
                   {"open", value.open},
                   {"idempotent", value.idempotent},
                   {"timeout_ms", value.timeout.count()},
                   {"body_limit_bytes", value.body_limit_bytes},
                   {"deleted", value.deleted}};
    if (!value.open)
    {
        json teams = json::array();
        for (const base::team_id& each : value.teams)
        {
            teams.push_back(each.text());
        }
        result["teams"] = teams;
    }
    if (!value.queue.empty())
    {
        result["queue"] = value.queue;
    }
    return result;
}

queue read_queue(field_reader& reader)
{
    queue result;
    result.name = reader.name("name");
    result.open = reader.required_bool("open");
    result.deleted = reader.optional_bool("deleted");
    return result;
}

json write(const queue& value)
{
    return {
        {"name", value.name}, {"open", value.open}, {"deleted", value.deleted}};
}

ticket_object read_fields_of(std::size_t type, field_reader& reader,
                             error_list& errors)
{
    switch (type)
    {
    case 0:
        return read_team(reader);
    case 1:
        return read_key(reader);
    case 2:
        return read_workload(reader);
    case 3:
        return read_service(reader, errors);
    default:
        return read_queue(reader);
    }
}

const std::string& text_of(const std::string& name)
{
    return name;
}

template <class Tag>
const std::string& text_of(const base::id<Tag>& name)
{
    return name.text();
}

} // namespace

std::optional<ticket_object>
read_object(const json& value, const std::string& path, error_list& errors)
{
    error_list object_errors;
    field_reader reader(value, path, object_errors);
    if (object_errors.empty())
    {
        const std::size_t type = reader.choice("type", choices(object_types));
        // The other fields depend on the type, so an unknown type is the only
        // error.
        if (object_errors.empty())
        {
            const ticket_object object =
                read_fields_of(type, reader, object_errors);
            reader.report_unknown_fields();
            if (object_errors.empty())
            {
                return object;
            }
        }
    }
    errors.append(object_errors);
    return std::nullopt;
}

json write_object(const ticket_object& object)
{
    json result =
        std::visit([](const auto& value) { return write(value); }, object);
    result["type"] = kind_name(object);
    return result;
}

std::string_view kind_name(const ticket_object& object)
{
    return object_types[object.index()];
}

const std::string& name_of(const ticket_object& object)
{
    return std::visit([](const auto& value) -> const std::string&
                      { return text_of(value.name); },
                      object);
}

} // namespace coltsfootrack::config
