// Reservations of room for gangs and large tasks, and their backfill.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>

namespace coltsfootrack::placement
{
namespace
{

// The least remaining run time assumed of a task that has exceeded its declared
// run time or has declared none.
constexpr base::duration min_remaining_time = std::chrono::seconds(10);

} // namespace

base::time_point scheduler::core::estimated_end(const booking& booked) const
{
    if (booked.stopping)
    {
        return std::max(now_, booked.stopping_since + booked.grace);
    }
    if (jobs_[booked.job].spec.kind == job_kind::service)
    {
        return base::time_point::max();
    }
    if (booked.expected_end != base::time_point::max() &&
        booked.expected_end > now_)
    {
        return booked.expected_end;
    }
    // Without a usable declaration a task is expected to run for as long again
    // as it has run.
    return now_ + std::max(now_ - booked.started, min_remaining_time);
}

bool scheduler::core::wants_reservation(const job_record& job) const
{
    if (!options_.reservations || job.reserved || job.holds > 0 ||
        reservations_.size() >= options_.max_reservations ||
        now_ - job.submitted < options_.reserve_after)
    {
        return false;
    }
    // Small tasks need no reservation: they find room whenever something ends.
    const base::resources& largest = pool_.largest();
    const base::resources twice = job.size * 2;
    return job.spec.kind == job_kind::gang ||
           (largest.cpu_milli > 0 && twice.cpu_milli >= largest.cpu_milli) ||
           (largest.memory_mb > 0 && twice.memory_mb >= largest.memory_mb) ||
           (largest.accelerators > 0 &&
            twice.accelerators >= largest.accelerators);
}

bool scheduler::core::plan_reservation(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    const std::int64_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    // Room that the search would not use must not be reserved.
    const bool avoids_accelerators = options_.keep_accelerators &&
                                     job.size.accelerators == 0 &&
                                     pool_.plain_worker_could_fit(job.size);
    std::int64_t total = 0;
    events_.clear();
    rooms_.assign(pool_.end(), {});
    fits_.assign(pool_.end(), 0);
    for (handle i = 0; i < pool_.end(); ++i)
    {
        const worker_record& worker = pool_[i];
        if (!worker.known || worker.state != worker_state::live ||
            worker.health != worker_health::healthy ||
            worker.reserved_for != no_handle ||
            !can_fit(worker.spec.capacity, job.size) ||
            (avoids_accelerators && worker.spec.capacity.accelerators > 0))
        {
            continue;
        }
        rooms_[i] = worker.free;
        fits_[i] = fit_count(rooms_[i], job.size, tasks);
        total += fits_[i];
        for (const handle booked : worker.bookings)
        {
            const base::time_point end = estimated_end(bookings_[booked]);
            if (end != base::time_point::max())
            {
                events_.push_back(
                    {end, bookings_[booked].serial, i, bookings_[booked].size});
            }
        }
    }
    std::sort(events_.begin(), events_.end());
    base::time_point start = now_;
    for (const release_event& event : events_)
    {
        if (total >= tasks)
        {
            break;
        }
        start = event.when;
        total -= fits_[event.worker];
        rooms_[event.worker] += event.size;
        fits_[event.worker] = fit_count(rooms_[event.worker], job.size, tasks);
        total += fits_[event.worker];
    }
    if (total < tasks)
    {
        return false;
    }
    // As few workers as possible are reserved.
    reservation planned;
    for (handle i = 0; i < pool_.end(); ++i)
    {
        if (fits_[i] > 0)
        {
            planned.workers.push_back(i);
        }
    }
    std::sort(planned.workers.begin(), planned.workers.end(),
              [this](handle a, handle b)
              {
                  return fits_[a] != fits_[b] ? fits_[a] > fits_[b]
                                              : pool_[a].order < pool_[b].order;
              });
    std::int64_t left = tasks;
    std::size_t used = 0;
    while (left > 0)
    {
        const handle worker = planned.workers[used++];
        const std::int64_t reserved_tasks = std::min(left, fits_[worker]);
        left -= reserved_tasks;
        pool_[worker].reserved_for = job_handle;
        pool_[worker].reserved = job.size * reserved_tasks;
        pool_[worker].reserved_until = start;
    }
    planned.workers.resize(used);
    planned.job = job_handle;
    planned.planned = now_;
    planned.expected_start = start;
    reservations_.push_back(std::move(planned));
    job.reserved = true;
    update_queue(job_handle);
    return true;
}

void scheduler::core::drop_reservation(handle job_handle)
{
    if (!jobs_[job_handle].reserved)
    {
        return;
    }
    const auto found = std::find_if(reservations_.begin(), reservations_.end(),
                                    [job_handle](const reservation& candidate)
                                    { return candidate.job == job_handle; });
    for (const handle worker : found->workers)
    {
        pool_[worker].reserved_for = no_handle;
        pool_[worker].reserved = {};
    }
    reservations_.erase(found);
    jobs_[job_handle].reserved = false;
    room_changed();
    update_queue(job_handle);
}

void scheduler::core::replan_reservations()
{
    for (const reservation& current : reservations_)
    {
        if (now_ - current.planned < options_.replan_interval)
        {
            continue;
        }
        // A backfilled task that exceeds its declared run time would delay the
        // job indefinitely.
        for (const handle worker : current.workers)
        {
            for (const handle booking_handle : pool_[worker].bookings)
            {
                const booking& booked = bookings_[booking_handle];
                if (booked.backfill && booked.job != current.job &&
                    booked.expected_end < now_)
                {
                    request_stop(booking_handle, stop_reason::overran,
                                 options_.stop_grace, false);
                }
            }
        }
        // One reservation is replanned per step; the others follow in later
        // steps.
        const handle job = current.job;
        drop_reservation(job);
        if (jobs_[job].queued)
        {
            plan_reservation(job);
        }
        return;
    }
}

base::time_point scheduler::core::slice_ready(const job_record& job) const
{
    const team_record& team = teams_[job.team];
    const std::int64_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    const base::resources need = job.size * tasks;
    base::resources room = headroom(team);
    if (can_fit(room, need))
    {
        return base::time_point::max();
    }
    std::vector<release_event> events;
    for (const handle booking_handle : team.bookings)
    {
        const booking& booked = bookings_[booking_handle];
        events.push_back(
            {estimated_end(booked), booked.serial, booked.worker, booked.size});
    }
    std::sort(events.begin(), events.end());
    for (const release_event& event : events)
    {
        room += event.size;
        if (can_fit(room, need))
        {
            return event.when;
        }
    }
    return base::time_point::max();
}

} // namespace coltsfootrack::placement
