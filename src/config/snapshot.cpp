// Construction of snapshots and lookup of objects.

#include "error_list.hpp"
#include "stored_object.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/generated_key.hpp>
#include <coltsfootrack/config/snapshot.hpp>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <optional>

namespace coltsfootrack::config
{
namespace
{

std::pair<std::string, std::string> key_of(const ticket_object& object)
{
    return {std::string(kind_name(object)), name_of(object)};
}

bool equal_in_constant_time(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && !a.empty() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

snapshot::snapshot(std::uint64_t sequence, entries objects)
    : sequence_(sequence)
    , objects_(std::move(objects))
{
}

snapshot::pointer snapshot::empty()
{
    return pointer(new snapshot(0, {}));
}

absl::StatusOr<snapshot::pointer>
snapshot::from_rows(std::uint64_t sequence, const std::vector<object_row>& rows)
{
    error_list errors;
    entries objects;
    for (const object_row& row : rows)
    {
        std::optional<stored_object> read = read_row(row, errors);
        if (read)
        {
            objects[{row.kind, row.name}] = {
                read->ticket_number,
                std::make_shared<const ticket_object>(std::move(read->object))};
        }
    }
    if (!errors.empty())
    {
        return errors.to_status(base::error_kind::invalid_ticket);
    }
    return pointer(new snapshot(sequence, std::move(objects)));
}

std::uint64_t snapshot::sequence() const
{
    return sequence_;
}

absl::StatusOr<snapshot::pointer> snapshot::apply(const ticket& change,
                                                  std::uint64_t sequence) const
{
    if (sequence <= sequence_)
    {
        return base::make_error(base::error_kind::ticket_superseded,
                                fmt::format("sequence {} is not higher than {}",
                                            sequence, sequence_));
    }
    for (const object_version& version : versions_of(change))
    {
        if (version.ticket_number > change.number)
        {
            return base::make_error(
                base::error_kind::ticket_superseded,
                fmt::format("{} \"{}\" was written by ticket {}", version.kind,
                            version.name, version.ticket_number));
        }
    }
    return pointer(new snapshot(sequence, objects_after(change)));
}

snapshot::entries snapshot::objects_after(const ticket& change) const
{
    entries result = objects_;
    for (const ticket_object& object : change.objects)
    {
        result[key_of(object)] = {
            change.number, std::make_shared<const ticket_object>(object)};
    }
    return result;
}

template <class T>
const T* snapshot::find(std::string_view kind, const std::string& name) const
{
    const auto found = objects_.find({std::string(kind), name});
    if (found == objects_.end())
    {
        return nullptr;
    }
    return std::get_if<T>(found->second.object.get());
}

template <class T>
std::vector<const T*> snapshot::all(std::string_view kind) const
{
    std::vector<const T*> result;
    for (auto at = objects_.lower_bound({std::string(kind), std::string()});
         at != objects_.end() && at->first.first == kind; ++at)
    {
        const T* value = std::get_if<T>(at->second.object.get());
        if (value != nullptr && !value->deleted)
        {
            result.push_back(value);
        }
    }
    return result;
}

const team* snapshot::find_team(const base::team_id& name) const
{
    const auto* value = find<team>("team", name.text());
    return value != nullptr && !value->deleted ? value : nullptr;
}

const workload* snapshot::find_workload(const base::workload_id& name) const
{
    const auto* value = find<workload>("workload", name.text());
    return value != nullptr && !value->deleted ? value : nullptr;
}

const service* snapshot::find_service(const base::service_id& name) const
{
    const auto* value = find<service>("service", name.text());
    return value != nullptr && !value->deleted ? value : nullptr;
}

const queue* snapshot::find_queue(std::string_view name) const
{
    const auto* value = find<queue>("queue", std::string(name));
    return value != nullptr && !value->deleted ? value : nullptr;
}

absl::StatusOr<base::team_id>
snapshot::authenticate(std::string_view presented) const
{
    if (presented.empty())
    {
        return base::make_error(base::error_kind::key_missing,
                                "the request carries no key");
    }
    const absl::Status unknown = base::make_error(
        base::error_kind::key_unknown, "the presented key is not known");
    const std::size_t dot = presented.find('.');
    // No key is longer; hashing a longer text would only cost time.
    constexpr std::size_t max_key_bytes = 256;
    if (dot == std::string_view::npos || presented.size() > max_key_bytes)
    {
        return unknown;
    }
    const auto* key =
        find<team_key>("key", std::string(presented.substr(0, dot)));
    if (key == nullptr ||
        !equal_in_constant_time(
            hash_secret(key->salt, presented.substr(dot + 1)), key->hash))
    {
        return unknown;
    }
    // The state of a key is disclosed only to a caller that holds its secret.
    if (key->state != key_state::granted || find_team(key->team) == nullptr)
    {
        return base::make_error(
            base::error_kind::key_withdrawn,
            fmt::format("key \"{}\" is withdrawn", key->name));
    }
    return key->team;
}

bool snapshot::queue_allows_open_work(const std::string& name) const
{
    if (name.empty())
    {
        return true;
    }
    const queue* value = find_queue(name);
    return value != nullptr && value->open;
}

bool snapshot::is_open(const workload& value) const
{
    return value.open && queue_allows_open_work(value.queue);
}

bool snapshot::is_open(const service& value) const
{
    return value.open && queue_allows_open_work(value.queue);
}

std::vector<const team*> snapshot::teams() const
{
    return all<team>("team");
}

std::vector<const workload*> snapshot::workloads() const
{
    return all<workload>("workload");
}

std::vector<const service*> snapshot::services() const
{
    return all<service>("service");
}

std::vector<object_version> snapshot::versions_of(const ticket& change) const
{
    std::vector<object_version> result;
    result.reserve(change.objects.size());
    for (const ticket_object& object : change.objects)
    {
        auto key = key_of(object);
        const auto found = objects_.find(key);
        result.push_back(
            {std::move(key.first), std::move(key.second),
             found == objects_.end() ? 0 : found->second.ticket_number});
    }
    return result;
}

std::vector<object_row> snapshot::rows() const
{
    std::vector<object_row> result;
    result.reserve(objects_.size());
    for (const auto& [key, value] : objects_)
    {
        result.push_back(make_row(value.ticket_number, *value.object));
    }
    return result;
}

} // namespace coltsfootrack::config
