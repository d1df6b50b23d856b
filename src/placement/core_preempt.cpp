// Preemption: room for urgent work, and accelerator VMs for accelerator work.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>
#include <tuple>

namespace coltsfootrack::placement
{
namespace
{

// In stop order, the lowest first; stop_level adds them up.
constexpr int level_batch = 0;
constexpr int level_gang = 1;
constexpr int level_exclusive = 2;
constexpr int level_urgent = 4;
constexpr int level_service = 6;

constexpr int never = -1;

} // namespace

int scheduler::core::stop_level(const booking& candidate) const
{
    const job_spec& job = jobs_[candidate.job].spec;
    if (job.kind == job_kind::service)
    {
        return level_service + (job.urgent ? 1 : 0);
    }
    const int gang = job.kind == job_kind::gang ? level_gang : 0;
    if (job.urgent)
    {
        return level_urgent + gang;
    }
    return (job.exclusive ? level_exclusive : level_batch) + gang;
}

int scheduler::core::victim_level(const booking& candidate,
                                  const job_record& job) const
{
    if (candidate.stopping || candidate.chosen || candidate.duplicate ||
        candidate.job == jobs_by_id_.at(job.spec.id))
    {
        return never;
    }
    const int level = stop_level(candidate);
    if (!job.spec.urgent)
    {
        // Accelerator work preempts only ordinary batch work without
        // accelerators.
        return level == level_batch && candidate.size.accelerators == 0 ? level
                                                                        : never;
    }
    // An urgent service may preempt urgent batch work. Other urgent work may
    // not: the two could preempt each other in turn.
    const int highest =
        job.spec.kind == job_kind::service ? level_service : level_urgent;
    return level < highest ? level : never;
}

victim scheduler::core::victim_of(handle booking_handle, int level) const
{
    const booking& booked = bookings_[booking_handle];
    const job_record& job = jobs_[booked.job];
    victim result;
    result.booking = booking_handle;
    result.level = level;
    result.tasks = job.spec.kind == job_kind::gang ? job.bookings.size() : 1;
    result.age = (now_ - booked.started).count();
    result.serial = booked.serial;
    return result;
}

bool scheduler::core::pick_victims(const base::resources& missing)
{
    std::sort(victims_.begin(), victims_.end(),
              [](const victim& a, const victim& b) { return a.before(b); });
    picked_.clear();
    base::resources left = missing;
    for (const victim& candidate : victims_)
    {
        const base::resources& size = bookings_[candidate.booking].size;
        if (reduces_shortage(left, size))
        {
            left -= size;
            picked_.push_back(candidate);
        }
    }
    if (positive_part(left) != base::resources())
    {
        return false;
    }
    // A later choice can make an earlier one unnecessary; the last ones in the
    // stop order are spared first.
    for (std::size_t i = picked_.size(); i > 0; --i)
    {
        const base::resources& size = bookings_[picked_[i - 1].booking].size;
        if (positive_part(left + size) == base::resources())
        {
            left += size;
            picked_.erase(picked_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
    }
    return true;
}

bool scheduler::core::ends_in_time(const booking& booked) const
{
    if (booked.chosen)
    {
        return true;
    }
    // A stop with a longer grace ends too late for urgent work, and one that is
    // overdue is not relied on again.
    const base::time_point end = booked.stopping_since + booked.grace;
    return booked.stopping && end <= now_ + options_.preemption_grace &&
           now_ - end < options_.preemption_timeout - options_.preemption_grace;
}

base::resources
scheduler::core::room_after_stops(const worker_record& worker) const
{
    base::resources room = worker.free;
    for (const handle booking_handle : worker.bookings)
    {
        if (ends_in_time(bookings_[booking_handle]))
        {
            room += bookings_[booking_handle].size;
        }
    }
    return room;
}

bool scheduler::core::choose_slice_victims(handle job_handle,
                                           std::vector<handle>& chosen)
{
    const job_record& job = jobs_[job_handle];
    const team_record& team = teams_[job.team];
    base::resources room = headroom(team);
    for (const handle booked : team.bookings)
    {
        if (ends_in_time(bookings_[booked]))
        {
            room += bookings_[booked].size;
        }
    }
    if (can_fit(room, job.size))
    {
        return true;
    }
    const base::resources missing = positive_part(job.size - room);
    victims_.clear();
    for (const handle candidate : team.bookings)
    {
        const int level = victim_level(bookings_[candidate], job);
        if (level >= 0 && reduces_shortage(missing, bookings_[candidate].size))
        {
            victims_.push_back(victim_of(candidate, level));
        }
    }
    if (!pick_victims(missing))
    {
        return false;
    }
    for (const victim& candidate : picked_)
    {
        bookings_[candidate.booking].chosen = true;
        chosen.push_back(candidate.booking);
    }
    return true;
}

handle scheduler::core::choose_worker(handle job_handle,
                                      std::vector<handle>& chosen)
{
    const job_record& job = jobs_[job_handle];
    // The highest level stopped, whether a plain task takes an accelerator VM,
    // tasks stopped, work lost, order of the id.
    using cost =
        std::tuple<int, bool, std::size_t, std::int64_t, std::uint32_t>;
    cost lowest;
    handle best = no_handle;
    std::vector<handle> best_victims;
    for (handle i = 0; i < pool_.end(); ++i)
    {
        const worker_record& worker = pool_[i];
        if (!worker.known || worker.state != worker_state::live ||
            worker.health != worker_health::healthy ||
            (!job.spec.urgent && worker.reserved_for != no_handle &&
             worker.reserved_for != job_handle) ||
            !can_fit(worker.spec.capacity - worker.held, job.size))
        {
            continue;
        }
        const base::resources missing =
            positive_part(job.size - room_after_stops(worker));
        picked_.clear();
        if (missing != base::resources())
        {
            victims_.clear();
            for (const handle candidate : worker.bookings)
            {
                const int level = victim_level(bookings_[candidate], job);
                if (level >= 0 &&
                    reduces_shortage(missing, bookings_[candidate].size))
                {
                    victims_.push_back(victim_of(candidate, level));
                }
            }
            if (victims_.empty() || !pick_victims(missing))
            {
                continue;
            }
        }
        cost worker_cost(never,
                         job.size.accelerators == 0 &&
                             worker.spec.capacity.accelerators > 0,
                         0, 0, worker.order);
        for (const victim& candidate : picked_)
        {
            std::get<0>(worker_cost) =
                std::max(std::get<0>(worker_cost), candidate.level);
            std::get<2>(worker_cost) += candidate.tasks;
            std::get<3>(worker_cost) += candidate.age;
        }
        if (best == no_handle || worker_cost < lowest)
        {
            best = i;
            lowest = worker_cost;
            best_victims.clear();
            for (const victim& candidate : picked_)
            {
                best_victims.push_back(candidate.booking);
            }
        }
    }
    for (const handle victim : best_victims)
    {
        bookings_[victim].chosen = true;
        chosen.push_back(victim);
    }
    return best;
}

bool scheduler::core::plan_task(handle job_handle, std::vector<handle>& chosen)
{
    if (!choose_slice_victims(job_handle, chosen))
    {
        return false;
    }
    const handle worker = choose_worker(job_handle, chosen);
    if (worker == no_handle)
    {
        return false;
    }
    job_record& job = jobs_[job_handle];
    holds_.push_back(
        {job_handle, worker, job.size, now_ + options_.preemption_timeout});
    pool_.hold(worker, job.size);
    teams_[job.team].held += job.size;
    ++job.holds;
    return true;
}

bool scheduler::core::plan_preemption(handle job_handle)
{
    const job_record& job = jobs_[job_handle];
    const std::uint32_t before = job.holds;
    const std::uint32_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() - before : 1;
    std::vector<handle> chosen;
    bool complete = true;
    for (std::uint32_t i = 0; i < tasks && complete; ++i)
    {
        complete = plan_task(job_handle, chosen);
    }
    for (const handle victim : chosen)
    {
        bookings_[victim].chosen = false;
        if (complete && !bookings_[victim].stopping)
        {
            ++totals_.preemptions;
            request_stop(victim, stop_reason::preempted,
                         options_.preemption_grace, true);
        }
    }
    if (!complete)
    {
        // The queue and the failed searches stay valid: nothing was searched
        // while part of the plan was held.
        while (jobs_[job_handle].holds > before)
        {
            release_hold(holds_.size() - 1);
        }
        return false;
    }
    update_queue(job_handle);
    return true;
}

void scheduler::core::release_hold(std::size_t position)
{
    const preemption_hold dropped = holds_[position];
    holds_.erase(holds_.begin() + static_cast<std::ptrdiff_t>(position));
    pool_.hold(dropped.worker, base::resources() - dropped.size);
    job_record& job = jobs_[dropped.job];
    teams_[job.team].held -= dropped.size;
    --job.holds;
}

void scheduler::core::drop_hold(std::size_t position)
{
    const handle job = holds_[position].job;
    release_hold(position);
    room_changed();
    update_queue(job);
}

void scheduler::core::drop_holds(handle job, std::uint32_t count)
{
    for (std::size_t i = holds_.size(); i > 0 && count > 0; --i)
    {
        if (holds_[i - 1].job == job)
        {
            drop_hold(i - 1);
            --count;
        }
    }
}

void scheduler::core::start_held()
{
    std::vector<handle> jobs;
    for (const preemption_hold& hold : holds_)
    {
        if (std::find(jobs.begin(), jobs.end(), hold.job) == jobs.end())
        {
            jobs.push_back(hold.job);
        }
    }
    for (const handle job : jobs)
    {
        while (!is_full() && start_held_job(job))
        {
        }
    }
}

bool scheduler::core::start_held_job(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    const team_record& team = teams_[job.team];
    if (job.holds == 0 || !is_ready(job) || !team.has_policy)
    {
        return false;
    }
    const bool gang = job.spec.kind == job_kind::gang;
    const std::uint32_t tasks = gang ? job.waiting.size() : 1;
    if (gang && job.holds < tasks)
    {
        return false;
    }
    const base::resources slice_room =
        team.slice - team.used - unadopted_capacity_;
    if (!can_fit(slice_room, job.size * tasks))
    {
        return false;
    }
    // The holds on whose room a task can start now.
    std::vector<std::size_t> ready;
    rooms_.assign(pool_.end(), {});
    for (std::size_t i = 0; i < holds_.size() && ready.size() < tasks; ++i)
    {
        const preemption_hold& hold = holds_[i];
        if (hold.job != job_handle)
        {
            continue;
        }
        const worker_record& worker = pool_[hold.worker];
        if (can_fit(worker.spec.capacity - worker.booked - rooms_[hold.worker],
                    job.size) &&
            worker.health == worker_health::healthy)
        {
            rooms_[hold.worker] += job.size;
            ready.push_back(i);
        }
    }
    if (ready.size() < tasks)
    {
        return false;
    }
    std::vector<handle> workers;
    for (std::size_t i = ready.size(); i > 0; --i)
    {
        workers.push_back(holds_[ready[i - 1]].worker);
        drop_hold(ready[i - 1]);
    }
    for (const handle worker : workers)
    {
        start_task(job_handle, worker);
    }
    drop_reservation(job_handle);
    update_queue(job_handle);
    return true;
}

} // namespace coltsfootrack::placement
