// Plans changes to the quota slice of one team in one zone.

#include <coltsfootrack/coordination/quota_ledger.hpp>

#include <absl/numeric/int128.h>
#include <algorithm>
#include <utility>

namespace coltsfootrack::coordination
{

namespace
{

constexpr std::int64_t base::resources::*components[] = {
    &base::resources::cpu_milli, &base::resources::memory_mb,
    &base::resources::accelerators};

// a * b / c without overflow, rounded down; 0 if c is 0. Requires
// 0 <= a <= c and b >= 0.
std::int64_t scale(std::int64_t a, std::int64_t b, std::int64_t c)
{
    if (c <= 0)
    {
        return 0;
    }
    return static_cast<std::int64_t>(absl::uint128(a) * absl::uint128(b) /
                                     absl::uint128(c));
}

} // namespace

quota_ledger::quota_ledger(base::team_id team, base::zone_id zone,
                           std::size_t zones, timing periods)
    : team_(std::move(team))
    , zone_(std::move(zone))
    , zones_(std::max<std::size_t>(zones, 1))
    , periods_(periods)
{
}

void quota_ledger::row_read(const quota_row& row)
{
    if (row_known_ && row.version < row_.version)
    {
        return;
    }
    row_ = row;
    row_known_ = true;
    reread_ = false;
    if (proposal_ && row.version > proposal_->row_version)
    {
        // The row has changed since the proposal: it has taken effect in this
        // row or never will.
        proposal_.reset();
        in_doubt_ = false;
    }
}

void quota_ledger::limit_changed(const base::resources& limit,
                                 std::uint64_t version, base::time_point now)
{
    if (limit_ && version <= limit_version_)
    {
        return;
    }
    limit_ = component_max(limit, {});
    limit_version_ = version;
    shrink_base_.reset();
    update_shrink(now);
}

void quota_ledger::set_demand(const base::resources& use,
                              const base::resources& waiting,
                              base::time_point now)
{
    use_ = use;
    waiting_ = waiting;
    const base::duration interval = periods_.slice_idle_timeout / 6;
    if (peaks_.empty() || now - peaks_.back().first >= interval)
    {
        peaks_.emplace_back(now, use + waiting);
    }
    else
    {
        peaks_.back().second =
            component_max(peaks_.back().second, use + waiting);
    }
    // The oldest interval ends where the next one starts.
    while (peaks_.size() > 1 &&
           now - peaks_[1].first >= periods_.slice_idle_timeout)
    {
        peaks_.pop_front();
    }
}

std::optional<quota_proposal> quota_ledger::plan(base::time_point now)
{
    update_shrink(now);
    if (!row_known_ || reread_ || proposal_ || !limit_)
    {
        return std::nullopt;
    }
    const base::resources own = committed();
    const base::resources wanted = wanted_slice(now);
    if (wanted == own)
    {
        return std::nullopt;
    }
    quota_proposal proposal;
    proposal.id = ++last_proposal_;
    proposal.team = team_;
    proposal.row_version = row_.version;
    if (!wanted.fits_in(own))
    {
        proposal.limit_version = limit_version_;
    }
    proposal.slices = row_.slices;
    proposal.slices[zone_] = wanted;
    proposal_ = proposal;
    return proposal;
}

void quota_ledger::proposal_applied(std::uint64_t id, std::uint64_t version)
{
    if (!proposal_ || proposal_->id != id)
    {
        return;
    }
    row_.version = version;
    row_.slices = proposal_->slices;
    proposal_.reset();
    in_doubt_ = false;
}

void quota_ledger::proposal_rejected(std::uint64_t id)
{
    if (!proposal_ || proposal_->id != id)
    {
        return;
    }
    proposal_.reset();
    in_doubt_ = false;
    reread_ = true;
}

void quota_ledger::outcome_unknown(std::uint64_t id)
{
    if (proposal_ && proposal_->id == id)
    {
        in_doubt_ = true;
    }
}

bool quota_ledger::needs_read() const
{
    return reread_ || in_doubt_;
}

base::resources quota_ledger::usable() const
{
    base::resources result = committed();
    if (proposal_)
    {
        const auto own = proposal_->slices.find(zone_);
        result = component_min(result, own->second);
    }
    return component_min(result, shrink_target());
}

base::resources quota_ledger::committed() const
{
    return row_known_ ? row_.slice(zone_) : base::resources{};
}

base::resources quota_ledger::to_preempt() const
{
    return component_max(use_ - usable(), {});
}

base::resources quota_ledger::shrink_target() const
{
    base::resources target = committed();
    if (!over_limit())
    {
        return target;
    }
    const quota_row& from = shrink_base_ ? *shrink_base_ : row_;
    const base::resources total = row_.total();
    const base::resources from_total = from.total();
    const base::resources from_own = from.slice(zone_);
    for (const auto part : components)
    {
        if (total.*part > (*limit_).*part)
        {
            const std::int64_t available = std::max<std::int64_t>(
                (*limit_).*part - shrink_fixed_.*part, 0);
            const std::int64_t share =
                scale(from_own.*part, available,
                      from_total.*part - shrink_fixed_.*part);
            target.*part = std::min(target.*part, share);
        }
    }
    return target;
}

base::resources quota_ledger::idle_floor(base::time_point now) const
{
    if (peaks_.empty() ||
        now - peaks_.front().first < periods_.slice_idle_timeout)
    {
        return committed();
    }
    base::resources peak;
    for (const auto& [start, need] : peaks_)
    {
        peak = component_max(peak, need);
    }
    return peak;
}

base::resources quota_ledger::wanted_slice(base::time_point now) const
{
    const base::resources own = committed();
    const base::resources need = use_ + waiting_;
    const base::resources total = row_.total();
    const base::resources floor = idle_floor(now);
    const base::resources target = shrink_target();
    base::resources wanted = own;
    for (const auto part : components)
    {
        const std::int64_t free = (*limit_).*part - total.*part;
        if (free < 0)
        {
            // A lowered slice is committed only once the use fits into it.
            if (use_.*part <= target.*part)
            {
                wanted.*part = target.*part;
            }
        }
        else if (need.*part > own.*part)
        {
            const std::int64_t share = free / static_cast<std::int64_t>(zones_);
            wanted.*part +=
                std::min(free, std::max(need.*part - own.*part, share));
        }
        else
        {
            wanted.*part = std::min(own.*part, floor.*part);
        }
    }
    return wanted;
}

bool quota_ledger::over_limit() const
{
    return row_known_ && limit_ && !row_.total().fits_in(*limit_);
}

void quota_ledger::update_shrink(base::time_point now)
{
    if (!over_limit())
    {
        shrink_base_.reset();
        shrink_fixed_ = {};
        return;
    }
    if (!shrink_base_)
    {
        shrink_base_ = row_;
        shrink_fixed_ = {};
        shrink_since_ = now;
        return;
    }
    if (now - shrink_since_ < periods_.shrink_timeout)
    {
        return;
    }
    // A zone that has not lowered its slice by now is assumed to be cut off, so
    // its slice is deducted from what the other zones share.
    base::resources fixed;
    for (const auto& [zone, amount] : row_.slices)
    {
        const base::resources before = shrink_base_->slice(zone);
        for (const auto part : components)
        {
            if (zone != zone_ && amount.*part >= before.*part)
            {
                fixed.*part += amount.*part;
            }
        }
    }
    shrink_base_ = row_;
    shrink_fixed_ = fixed;
    shrink_since_ = now;
}

} // namespace coltsfootrack::coordination
