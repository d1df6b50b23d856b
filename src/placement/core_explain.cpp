// Explanations and counters.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <iterator>

namespace coltsfootrack::placement
{

explanation scheduler::core::explain(const base::job_id& id) const
{
    explanation result;
    const auto found = jobs_by_id_.find(id);
    if (found == jobs_by_id_.end())
    {
        result.text = "The job is not known here: it was never submitted, is "
                      "complete, or was cancelled.";
        return result;
    }
    const job_record& job = jobs_[found->second];
    const team_record& team = teams_[job.team];
    result.tasks_waiting = job.waiting.size() + job.delayed;
    result.tasks_running = static_cast<std::uint32_t>(job.bookings.size());
    result.tasks_stopping = static_cast<std::uint32_t>(
        std::count_if(job.bookings.begin(), job.bookings.end(),
                      [this](handle booking_handle)
                      { return bookings_[booking_handle].stopping; }));
    result.tasks_finished = job.finished;
    result.failures = static_cast<std::uint32_t>(job.failures.size());
    if (job.ending)
    {
        result.state = job_state::ending;
        result.text = fmt::format(
            "The job was {}; {} tasks have not confirmed their end.",
            job.failed ? "condemned" : "cancelled", job.bookings.size());
        return result;
    }
    if (result.tasks_waiting == 0)
    {
        result.state = job_state::running;
        result.text = "All tasks that have not finished are running.";
        return result;
    }
    result.state = job_state::waiting;
    auto text = std::back_inserter(result.text);
    fmt::format_to(text, "{} tasks of {} wait.", result.tasks_waiting,
                   base::to_string(job.size));
    if (job.delayed > 0)
    {
        fmt::format_to(text, " {} failed and wait for their next attempt.",
                       job.delayed);
    }
    if (job.breaking)
    {
        fmt::format_to(text,
                       " The gang starts again when its last {} tasks "
                       "have ended.",
                       job.bookings.size());
    }
    if (!team.has_policy)
    {
        fmt::format_to(text, " No policy is known for team {}.",
                       team.id.text());
    }
    if (job.holds > 0)
    {
        fmt::format_to(text, " Other work is being stopped for {} tasks.",
                       job.holds);
    }
    const bool gang = job.spec.kind == job_kind::gang;
    const base::resources need =
        gang ? job.size * job.waiting.size() : job.size;
    const base::resources slice_room = positive_part(headroom(team));
    if (!can_fit(slice_room, need))
    {
        fmt::format_to(text,
                       " Team {} has {} left of its slice of {}; {} are "
                       "needed at a time.",
                       team.id.text(), base::to_string(slice_room),
                       base::to_string(team.slice), base::to_string(need));
    }
    std::size_t too_small = 0;
    std::size_t unusable = 0;
    std::size_t full = 0;
    std::int64_t fits = 0;
    const worker_query query = query_of(found->second);
    base::resources room;
    for (handle i = 0; i < pool_.end(); ++i)
    {
        const worker_record& worker = pool_[i];
        if (!worker.known)
        {
            continue;
        }
        if (!can_fit(worker.spec.capacity, job.size))
        {
            ++too_small;
        }
        else if (worker.state != worker_state::live ||
                 worker.health != worker_health::healthy)
        {
            ++unusable;
        }
        else if (!pool_.usable_room(worker, query, room))
        {
            ++full;
        }
        else
        {
            fits += fit_count(room, job.size, job.spec.task_count);
        }
    }
    fmt::format_to(text,
                   " Of {} workers {} are too small, {} are leaving, "
                   "lost or in quarantine, and {} have no room now; the "
                   "others have room for {} tasks.",
                   pool_.size(), too_small, unusable, full, fits);
    for (const reservation& reserved : reservations_)
    {
        if (reserved.job == found->second)
        {
            fmt::format_to(
                text,
                " Room is kept on {} workers; the start is expected in "
                "{} s.",
                reserved.workers.size(),
                std::chrono::duration_cast<std::chrono::seconds>(
                    std::max(reserved.expected_start - now_,
                             base::duration::zero()))
                    .count());
        }
    }
    return result;
}

scheduler_counters scheduler::core::counters() const
{
    scheduler_counters result = totals_;
    for (const team_record& team : teams_)
    {
        team_counters counters;
        counters.team = team.id;
        counters.slice = team.slice;
        counters.used = team.used;
        counters.waiting = team.waiting;
        counters.waiting_jobs = team.waiting_jobs();
        counters.waiting_tasks = team.waiting_tasks;
        counters.running_tasks = team.bookings.size();
        counters.weighted_share = weighted_share(team);
        result.waiting_tasks += counters.waiting_tasks;
        result.teams.push_back(std::move(counters));
    }
    std::sort(result.teams.begin(), result.teams.end(),
              [](const team_counters& a, const team_counters& b)
              { return a.team < b.team; });
    result.capacity = pool_.capacity();
    for (handle i = 0; i < pool_.end(); ++i)
    {
        const worker_record& worker = pool_[i];
        if (worker.known && worker.state == worker_state::live)
        {
            result.free += worker.spec.capacity - worker.booked;
        }
        result.workers_on_probation +=
            worker.known && worker.health == worker_health::probation ? 1 : 0;
        result.workers_quarantined +=
            worker.known && worker.health == worker_health::quarantined ? 1 : 0;
    }
    result.workers = pool_.size();
    result.running_tasks = bookings_.size();
    result.stopping_tasks = stopping_tasks_;
    result.waiting_jobs = queued_jobs_;
    result.reservations = reservations_.size();
    return result;
}

} // namespace coltsfootrack::placement
