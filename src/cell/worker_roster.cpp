// The stored record of the workers that may hold a lease.

#include "stable_hash.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/cell/worker_roster.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootrack::cell
{
namespace
{

using nlohmann::json;

// One entry of a row: worker, service, zone, address, the capacity in
// thousandths of a core, MB and accelerators, and whether it is leaving, which
// rows of former versions lack.
json to_json(const fleet::worker_listing& worker)
{
    return json::array({worker.worker.text(), worker.service.text(),
                        worker.zone.text(), worker.address,
                        worker.capacity.cpu_milli, worker.capacity.memory_mb,
                        worker.capacity.accelerators, worker.leaving});
}

// Whether two workers have the same entry in a row.
bool same_entry(const fleet::worker_listing& a, const fleet::worker_listing& b)
{
    return a.worker == b.worker && a.service == b.service && a.zone == b.zone &&
           a.address == b.address && a.capacity == b.capacity &&
           a.leaving == b.leaving;
}

fleet::worker_listing worker_of(const json& in)
{
    fleet::worker_listing worker;
    worker.worker = base::worker_id(in.at(0).get<std::string>());
    worker.service = base::service_id(in.at(1).get<std::string>());
    worker.zone = base::zone_id(in.at(2).get<std::string>());
    worker.address = in.at(3).get<std::string>();
    worker.capacity = {in.at(4).get<std::int64_t>(),
                       in.at(5).get<std::int64_t>(),
                       in.at(6).get<std::int64_t>()};
    constexpr std::size_t leaving = 7;
    worker.leaving = in.size() > leaving && in.at(leaving).get<bool>();
    return worker;
}

} // namespace

worker_roster::worker_roster(std::size_t parts)
    : parts_(parts)
{
}

absl::Status worker_roster::load(std::size_t part, const std::string& text)
{
    std::map<base::worker_id, entry> loaded;
    try
    {
        const json in = json::parse(text);
        for (const json& row : in.get_ref<const json::array_t&>())
        {
            const fleet::worker_listing worker = worker_of(row);
            loaded[worker.worker] = {worker, 0};
        }
    }
    catch (const json::exception& error)
    {
        return base::make_error(base::error_kind::invalid_request,
                                error.what());
    }
    parts_.at(part).entries.merge(loaded);
    return absl::OkStatus();
}

void worker_roster::add(const fleet::worker_listing& worker)
{
    part_state& part = part_of(worker.worker);
    const auto found = part.entries.find(worker.worker);
    if (found == part.entries.end())
    {
        part.entries[worker.worker] = {worker, ++part.changes};
        return;
    }
    if (!same_entry(found->second.worker, worker))
    {
        found->second.worker = worker;
        ++part.changes;
    }
}

void worker_roster::remove(const base::worker_id& worker)
{
    part_state& part = part_of(worker);
    if (part.entries.erase(worker) > 0)
    {
        ++part.changes;
    }
}

bool worker_roster::contains(const base::worker_id& worker) const
{
    return part_of(worker).entries.count(worker) != 0;
}

bool worker_roster::stored(const base::worker_id& worker) const
{
    const part_state& part = part_of(worker);
    const auto found = part.entries.find(worker);
    return found != part.entries.end() && found->second.added_by <= part.stored;
}

bool worker_roster::all_stored() const
{
    return std::all_of(parts_.begin(), parts_.end(),
                       [](const part_state& part)
                       { return part.stored == part.changes; });
}

std::optional<worker_roster::row_write>
worker_roster::next_write(std::size_t part)
{
    part_state& state = parts_.at(part);
    if (state.written == state.changes)
    {
        return std::nullopt;
    }
    state.written = state.changes;
    json out = json::array();
    for (const auto& [id, known] : state.entries)
    {
        out.push_back(to_json(known.worker));
    }
    return row_write{out.dump(-1, ' ', false, json::error_handler_t::replace),
                     state.changes};
}

void worker_roster::on_stored(std::size_t part, std::uint64_t change)
{
    part_state& state = parts_.at(part);
    state.stored = std::max(state.stored, change);
}

std::vector<fleet::worker_listing> worker_roster::workers() const
{
    std::vector<fleet::worker_listing> all;
    for (const part_state& part : parts_)
    {
        for (const auto& [id, known] : part.entries)
        {
            all.push_back(known.worker);
        }
    }
    return all;
}

worker_roster::part_state& worker_roster::part_of(const base::worker_id& worker)
{
    return parts_[stable_hash(worker.text()) % parts_.size()];
}

const worker_roster::part_state&
worker_roster::part_of(const base::worker_id& worker) const
{
    return parts_[stable_hash(worker.text()) % parts_.size()];
}

} // namespace coltsfootrack::cell
