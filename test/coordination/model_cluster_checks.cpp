// The invariants of the model after each event, stated over the table and real
// time only.

#include <coordination/model_cluster.hpp>

#include <algorithm>
#include <chrono>
#include <fmt/core.h>

namespace coltsfootrack::coordination
{

void model_cluster::check()
{
    check_owners();
    check_quota();
    check_freshness();
}

void model_cluster::check_owners()
{
    std::map<base::zone_id, base::daemon_id> acting;
    for (const auto& [id, machine] : vms_)
    {
        if (!machine.process || !machine.process->may_act())
        {
            continue;
        }
        const auto [entry, first] = acting.emplace(machine.zone, id);
        if (!first)
        {
            fail(fmt::format("two owners of zone {}: {} and {}",
                             machine.zone.text(), entry->second.text(),
                             id.text()));
        }
    }
    for (const auto& [zone, id] : acting)
    {
        zone_statistics& entry = statistics[zone];
        if (entry.first < base::duration::zero())
        {
            entry.first = now_;
        }
        else
        {
            entry.longest_gap =
                std::max(entry.longest_gap, now_ - entry.last_acting);
        }
        entry.last_acting = now_;
        if (entry.last_owner != id)
        {
            ++entry.owners;
            entry.last_owner = id;
        }
    }
}

void model_cluster::check_quota()
{
    base::resources used;
    for (const auto& [id, machine] : vms_)
    {
        if (machine.process)
        {
            used += machine.process->usable();
        }
    }
    const base::resources bound = component_max(table.limit, allowed_);
    if (!used.fits_in(bound))
    {
        fail(fmt::format("usable slices {} above the limit {}", to_string(used),
                         to_string(bound)));
    }
}

void model_cluster::check_freshness()
{
    std::uint64_t required = 0;
    for (const auto& [at, sequence] : accepted)
    {
        if (now_ - at > std::chrono::seconds(8))
        {
            required = std::max(required, sequence);
        }
    }
    for (const auto& [id, machine] : vms_)
    {
        if (machine.process &&
            machine.process->freshness.is_current(machine.process->now()) &&
            machine.process->freshness.sequence() < required)
        {
            fail(fmt::format("{} is current at sequence {} without {}",
                             id.text(), machine.process->freshness.sequence(),
                             required));
        }
    }
}

int model_cluster::current_daemons() const
{
    return static_cast<int>(std::count_if(
        vms_.begin(), vms_.end(),
        [](const auto& entry)
        {
            const auto& process = entry.second.process;
            return process && process->freshness.is_current(process->now());
        }));
}

void model_cluster::check_table()
{
    if (table.head != (accepted.empty() ? 0 : accepted.back().second))
    {
        accepted.emplace_back(now_, table.head);
    }
    for (const auto& [zone, row] : table.owners)
    {
        owner_row& before = checked_owners_[zone];
        const bool same =
            row.epoch == before.epoch &&
            (row.is_released() || (row.daemon == before.daemon &&
                                   row.incarnation == before.incarnation));
        if (row.epoch < before.epoch || (row.epoch == before.epoch && !same))
        {
            fail(fmt::format("zone {}: epoch {} after {}", zone.text(),
                             row.epoch, before.epoch));
        }
        statistics[zone].epochs = static_cast<int>(row.epoch);
        before = row;
    }
    // Slices may exceed the limit only as far as they were granted before it
    // was lowered, and may then only shrink.
    const base::resources total = table.quota.total();
    if (checked_limit_ != table.limit_version)
    {
        checked_limit_ = table.limit_version;
        allowed_ = total;
    }
    if (!total.fits_in(component_max(table.limit, allowed_)))
    {
        fail(fmt::format("slices {} above the limit {}", to_string(total),
                         to_string(table.limit)));
    }
    allowed_ = component_min(allowed_, total);
}

void model_cluster::fail(const std::string& text)
{
    if (violation_.empty())
    {
        violation_ = fmt::format(
            "at {} ms: {}",
            std::chrono::duration_cast<std::chrono::milliseconds>(now_).count(),
            text);
    }
}

} // namespace coltsfootrack::coordination
