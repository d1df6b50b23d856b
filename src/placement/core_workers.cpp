// Teams, slices and workers.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>

namespace coltsfootrack::placement
{

void scheduler::core::room_changed()
{
    ++room_version_;
    changed_ = true;
}

handle scheduler::core::find_or_add_team(const base::team_id& id)
{
    const auto [entry, inserted] = teams_by_id_.try_emplace(id, no_handle);
    if (inserted)
    {
        team_record added;
        added.id = id;
        for (team_record& other : teams_)
        {
            if (other.id < id)
            {
                ++added.order;
            }
            else
            {
                ++other.order;
            }
        }
        teams_.push_back(std::move(added));
        entry->second = static_cast<handle>(teams_.size() - 1);
    }
    return entry->second;
}

void scheduler::core::set_teams(const std::vector<team_policy>& teams)
{
    for (team_record& team : teams_)
    {
        team.has_policy = false;
    }
    for (const team_policy& policy : teams)
    {
        team_record& team = teams_[find_or_add_team(policy.id)];
        team.has_policy = true;
        team.policy = policy;
    }
    room_changed();
}

void scheduler::core::set_quota(const base::team_id& id,
                                const base::resources& slice)
{
    team_record& team = teams_[find_or_add_team(id)];
    team.slice = slice;
    slices_lowered_ = slices_lowered_ || !team.used.fits_in(slice);
    room_changed();
}

void scheduler::core::set_unadopted_capacity(const base::resources& capacity)
{
    unadopted_capacity_ = capacity;
    room_changed();
}

base::resources scheduler::core::headroom(const team_record& team) const
{
    return team.slice - team.used - team.held - unadopted_capacity_;
}

double scheduler::core::weighted_share(const team_record& team) const
{
    const base::resources& total = pool_.capacity();
    double share = 0;
    const auto consider = [&share](std::int64_t used, std::int64_t capacity)
    {
        if (capacity > 0)
        {
            share = std::max(share, static_cast<double>(used) /
                                        static_cast<double>(capacity));
        }
    };
    consider(team.used.cpu_milli, total.cpu_milli);
    consider(team.used.memory_mb, total.memory_mb);
    consider(team.used.accelerators, total.accelerators);
    return share /
           static_cast<double>(std::max<std::int64_t>(team.policy.weight, 1));
}

void scheduler::core::stop_excess_of_slices()
{
    slices_lowered_ = false;
    for (team_record& team : teams_)
    {
        const auto excess = [&team]
        {
            return positive_part(team.used - team.stopping - team.slice);
        };
        if (excess() == base::resources())
        {
            continue;
        }
        victims_.clear();
        for (const handle booking_handle : team.bookings)
        {
            if (!bookings_[booking_handle].stopping)
            {
                victims_.push_back(victim_of(
                    booking_handle, stop_level(bookings_[booking_handle])));
            }
        }
        std::sort(victims_.begin(), victims_.end(),
                  [](const victim& a, const victim& b) { return a.before(b); });
        for (const victim& candidate : victims_)
        {
            // The stop of one task of a gang stops the others too.
            booking& booked = bookings_[candidate.booking];
            if (!booked.stopping && reduces_shortage(excess(), booked.size))
            {
                request_stop(candidate.booking, stop_reason::over_slice,
                             options_.stop_grace, false);
            }
        }
    }
}

void scheduler::core::add_worker(const worker_spec& spec)
{
    pool_.add(spec);
    room_changed();
}

void scheduler::core::set_worker_state(const base::worker_id& id,
                                       worker_state state)
{
    const handle worker_handle = pool_.find(id);
    if (worker_handle == no_handle || pool_[worker_handle].state == state)
    {
        return;
    }
    pool_[worker_handle].state = state;
    pool_.update_totals();
    room_changed();
    if (state == worker_state::live)
    {
        return;
    }
    for (std::size_t i = holds_.size(); i > 0; --i)
    {
        if (holds_[i - 1].worker == worker_handle)
        {
            drop_hold(i - 1);
        }
    }
    if (pool_[worker_handle].reserved_for != no_handle)
    {
        drop_reservation(pool_[worker_handle].reserved_for);
    }
    if (state == worker_state::leaving)
    {
        for (const handle booked : pool_[worker_handle].bookings)
        {
            request_stop(booked, stop_reason::worker_leaving,
                         options_.stop_grace, false);
        }
    }
}

void scheduler::core::remove_worker(const base::worker_id& id)
{
    const handle worker_handle = pool_.find(id);
    if (worker_handle == no_handle)
    {
        return;
    }
    set_worker_state(id, worker_state::lost);
    while (!pool_[worker_handle].bookings.empty())
    {
        release(pool_[worker_handle].bookings.back(), task_outcome::stopped,
                now_);
    }
    pool_.remove(worker_handle);
    room_changed();
}

} // namespace coltsfootrack::placement
