// Bookings of started tasks, and the reports about them.

#include "scheduler_core.hpp"

#include <algorithm>
#include <utility>

namespace coltsfootrack::placement
{
namespace
{

// Removes one entry from an unordered list and returns the handle that moved to
// its position, or no_handle.
handle remove_at(std::vector<handle>& list, std::uint32_t position)
{
    list[position] = list.back();
    list.pop_back();
    return position < list.size() ? list[position] : no_handle;
}

// The backoff before a task starts again after the given number of failures.
base::duration backoff_after(std::size_t failures, base::duration first)
{
    constexpr base::duration longest = std::chrono::minutes(1);
    base::duration backoff = first;
    for (std::size_t i = 1; i < failures && backoff < longest; ++i)
    {
        backoff *= 2;
    }
    return std::min(backoff, longest);
}

} // namespace

handle scheduler::core::book(handle job_handle, std::uint32_t index,
                             handle worker, const base::resources& size,
                             std::string token, base::time_point started)
{
    job_record& job = jobs_[job_handle];
    team_record& team = teams_[job.team];
    booking added;
    added.job = job_handle;
    added.worker = worker;
    added.team = job.team;
    added.index = index;
    added.rack = pool_[worker].rack;
    added.serial = next_serial_++;
    added.token = std::move(token);
    added.size = size;
    added.declared = size;
    added.started = started;
    if (job.spec.run_time > base::duration::zero())
    {
        added.expected_end = started + job.spec.run_time;
    }
    added.job_position = static_cast<std::uint32_t>(job.bookings.size());
    added.worker_position =
        static_cast<std::uint32_t>(pool_[worker].bookings.size());
    added.team_position = static_cast<std::uint32_t>(team.bookings.size());
    const handle booking_handle = bookings_.insert(std::move(added));
    by_token_.emplace(bookings_[booking_handle].token, booking_handle);
    job.bookings.push_back(booking_handle);
    pool_[worker].bookings.push_back(booking_handle);
    team.bookings.push_back(booking_handle);
    pool_.book(worker, size);
    team.used += size;
    if (size.accelerators > 0)
    {
        // The room that was kept for idle accelerators is available now.
        room_changed();
    }
    if (job.spec.rack_spread)
    {
        job.rack_tasks.resize(std::max(job.rack_tasks.size(), pool_.racks()));
        ++job.rack_tasks[bookings_[booking_handle].rack];
    }
    return booking_handle;
}

void scheduler::core::release(handle booking_handle, task_outcome outcome,
                              base::time_point now)
{
    const booking ended = bookings_[booking_handle];
    job_record& job = jobs_[ended.job];
    team_record& team = teams_[ended.team];
    handle moved = remove_at(job.bookings, ended.job_position);
    if (moved != no_handle)
    {
        bookings_[moved].job_position = ended.job_position;
    }
    moved = remove_at(pool_[ended.worker].bookings, ended.worker_position);
    if (moved != no_handle)
    {
        bookings_[moved].worker_position = ended.worker_position;
    }
    moved = remove_at(team.bookings, ended.team_position);
    if (moved != no_handle)
    {
        bookings_[moved].team_position = ended.team_position;
    }
    by_token_.erase(ended.token);
    bookings_.erase(booking_handle);
    pool_.book(ended.worker, base::resources() - ended.size);
    team.used -= ended.size;
    if (ended.stopping)
    {
        team.stopping -= ended.size;
        --stopping_tasks_;
    }
    if (ended.rack < job.rack_tasks.size())
    {
        --job.rack_tasks[ended.rack];
    }
    room_changed();

    if (outcome == task_outcome::finished)
    {
        ++job.finished;
        record_success(ended);
    }
    else if (!ended.duplicate && !job.ending && !job.implicit)
    {
        if (outcome == task_outcome::failed)
        {
            const std::size_t failures = std::max<std::size_t>(
                1, static_cast<std::size_t>(std::count_if(
                       job.failures.begin(), job.failures.end(),
                       [&ended](const task_failure& failure)
                       { return failure.index == ended.index; })));
            ++job.delayed;
            delayed_.push(
                {now + backoff_after(failures, options_.retry_backoff),
                 job.sequence, ended.index, ended.job});
        }
        else
        {
            job.waiting.insert(ended.index);
        }
        if (!job.bookings.empty())
        {
            break_gang(ended.job);
        }
    }
    complete_or_requeue(ended.job);
}

void scheduler::core::request_stop(handle booking_handle, stop_reason reason,
                                   base::duration grace, bool first)
{
    booking& booked = bookings_[booking_handle];
    if (booked.stopping)
    {
        return;
    }
    booked.stopping = true;
    booked.stopping_since = now_;
    booked.reason = reason;
    booked.grace = grace;
    teams_[booked.team].stopping += booked.size;
    ++stopping_tasks_;
    (first ? urgent_stops_ : stops_).push_back({booking_handle, booked.serial});
    changed_ = true;
    if (!booked.duplicate)
    {
        break_gang(booked.job);
    }
}

handle scheduler::core::find_booking(const base::task_id& task,
                                     std::string_view token) const
{
    const auto found =
        by_token_.find(absl::string_view(token.data(), token.size()));
    if (found == by_token_.end())
    {
        return no_handle;
    }
    const booking& booked = bookings_[found->second];
    return booked.index == task.index && jobs_[booked.job].spec.id == task.job
               ? found->second
               : no_handle;
}

bool scheduler::core::report_started(const base::task_id& task,
                                     std::string_view token,
                                     base::time_point now)
{
    now_ = std::max(now_, now);
    const handle booking_handle = find_booking(task, token);
    if (booking_handle == no_handle)
    {
        return false;
    }
    // The run time counts from the start on the worker, not from the decision.
    booking& booked = bookings_[booking_handle];
    if (booked.expected_end != base::time_point::max())
    {
        booked.expected_end += now - booked.started;
    }
    booked.started = now;
    return true;
}

bool scheduler::core::report_ended(const base::task_id& task,
                                   std::string_view token, task_outcome outcome,
                                   std::string_view reason,
                                   base::time_point now)
{
    now_ = std::max(now_, now);
    const handle booking_handle = find_booking(task, token);
    if (booking_handle == no_handle)
    {
        return false;
    }
    // A failure of a task that was asked to stop does not count against its job
    // or its worker.
    if (outcome == task_outcome::failed && bookings_[booking_handle].stopping)
    {
        outcome = task_outcome::stopped;
    }
    if (outcome == task_outcome::failed)
    {
        record_failure(bookings_[booking_handle].job, bookings_[booking_handle],
                       reason, now);
    }
    release(booking_handle, outcome, now);
    return true;
}

void scheduler::core::resize(booking& booked, const base::resources& size)
{
    const base::resources change = size - booked.size;
    pool_.book(booked.worker, change);
    teams_[booked.team].used += change;
    if (booked.stopping)
    {
        teams_[booked.team].stopping += change;
    }
    booked.size = size;
    if (!base::resources().fits_in(change))
    {
        room_changed();
    }
}

} // namespace coltsfootrack::placement
