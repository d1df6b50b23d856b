// Parses the platform's list of VMs.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/vm_list.hpp>

#include <algorithm>
#include <optional>

namespace coltsfootrack::store
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_vms = 10000;

std::optional<vm_entry::vm_role> role_named(const std::string& name)
{
    if (name == "entry")
    {
        return vm_entry::vm_role::entry;
    }
    if (name == "worker")
    {
        return vm_entry::vm_role::worker;
    }
    if (name == "runner")
    {
        return vm_entry::vm_role::runner;
    }
    return std::nullopt;
}

absl::Status malformed(const std::string& what)
{
    return base::make_error(base::error_kind::peer_protocol,
                            "list of VMs: " + what);
}

// Fields that do not apply to a role may be missing.
vm_entry entry_of(const json& value)
{
    vm_entry entry;
    entry.name = value.at("name").get<std::string>();
    entry.zone = value.at("zone").get<std::string>();
    entry.region = value.at("region").get<std::string>();
    entry.rack = value.value("rack", std::string());
    entry.address = value.at("address").get<std::string>();
    entry.capacity.cpu_milli = value.value("cpu_milli", std::int64_t{0});
    entry.capacity.memory_mb = value.value("memory_mb", std::int64_t{0});
    entry.capacity.accelerators = value.value("accelerators", std::int64_t{0});
    entry.service = value.value("service", std::string());
    entry.slots = value.value("slots", std::uint32_t{0});
    return entry;
}

absl::StatusOr<vm_entry> parse_entry(const json& value)
{
    try
    {
        vm_entry entry = entry_of(value);
        const auto role = role_named(value.at("role").get<std::string>());
        const auto state = value.at("state").get<std::string>();
        if (!role || (state != "live" && state != "leaving") ||
            !entry.capacity.is_valid())
        {
            return malformed("role, state or capacity of " + entry.name);
        }
        entry.role = *role;
        entry.leaving = state == "leaving";
        return entry;
    }
    catch (const json::exception& error)
    {
        return malformed(error.what());
    }
}

} // namespace

absl::StatusOr<vm_list> parse_vm_list(const json& body,
                                      base::time_point sent_at)
{
    if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array())
    {
        return malformed("no array 'vms'");
    }
    if (body["vms"].size() > max_vms)
    {
        return malformed("too many entries");
    }
    vm_list list;
    list.sent_at = sent_at;
    list.vms.reserve(body["vms"].size());
    for (const json& value : body["vms"])
    {
        auto entry = parse_entry(value);
        if (!entry.ok())
        {
            return entry.status();
        }
        list.vms.push_back(*std::move(entry));
    }
    std::sort(list.vms.begin(), list.vms.end(),
              [](const vm_entry& a, const vm_entry& b)
              { return a.name < b.name; });
    const auto repeated = std::adjacent_find(
        list.vms.begin(), list.vms.end(),
        [](const vm_entry& a, const vm_entry& b) { return a.name == b.name; });
    if (repeated != list.vms.end())
    {
        return malformed("repeated name " + repeated->name);
    }
    return list;
}

} // namespace coltsfootrack::store
