// Usage reports: a booking grows with the usage, and shrinks only if the
// options allow it.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::placement
{

bool scheduler::core::report_usage(const base::task_id& task,
                                   std::string_view token,
                                   const base::resources& usage,
                                   base::time_point now)
{
    now_ = std::max(now_, now);
    const handle booking_handle = find_booking(task, token);
    if (booking_handle == no_handle || !usage.is_valid())
    {
        return false;
    }
    booking& booked = bookings_[booking_handle];
    job_record& job = jobs_[booked.job];
    base::resources wanted = base::component_max(booked.declared, usage);
    if (options_.reclaim_unused && job.spec.kind != job_kind::service &&
        !job.spec.urgent)
    {
        const std::int64_t percent = 100 + options_.reclaim_margin_percent;
        const base::resources padded{usage.cpu_milli * percent / 100,
                                     usage.memory_mb * percent / 100, 0};
        wanted = base::component_max(
            usage, base::component_min(booked.declared, padded));
    }
    // Accelerators are whole devices that the worker assigns; usage does not
    // change them.
    wanted.accelerators = booked.size.accelerators;
    if (wanted == booked.size)
    {
        return true;
    }
    if (booked.throttled && usage.cpu_milli <= booked.size.cpu_milli)
    {
        booked.throttled = false;
    }
    const worker_record& worker = pool_[booked.worker];
    const team_record& team = teams_[booked.team];
    const base::resources room =
        base::component_min(positive_part(worker.spec.capacity - worker.booked),
                            positive_part(team.slice - team.used));
    const base::resources limit = booked.size + room;
    const base::resources granted = base::component_min(wanted, limit);
    if (granted != booked.size)
    {
        resize(booked, granted);
    }
    if (wanted.memory_mb > granted.memory_mb)
    {
        // Memory cannot be taken back from a running task.
        raise_size(booked.job, wanted);
        request_stop(booking_handle, stop_reason::over_size,
                     options_.stop_grace, false);
    }
    else if (wanted.cpu_milli > granted.cpu_milli && !booked.throttled &&
             !booked.stopping)
    {
        booked.throttled = true;
        throttles_.push_back({booking_handle, booked.serial});
        changed_ = true;
    }
    return true;
}

void scheduler::core::raise_size(handle job_handle,
                                 const base::resources& usage)
{
    job_record& job = jobs_[job_handle];
    base::resources raised = job.size;
    raised.memory_mb = std::max(raised.memory_mb, usage.memory_mb);
    if (raised == job.size || job.ending || job.implicit)
    {
        return;
    }
    if (const absl::Status status =
            check_possible(job.spec, raised, teams_[job.team]);
        !status.ok())
    {
        fail_job(job_handle,
                 fmt::format("a task used {}, which can never be allocated: {}",
                             base::to_string(usage),
                             std::string(status.message())));
        return;
    }
    drop_holds(job_handle, job.holds);
    drop_reservation(job_handle);
    job.size = raised;
    update_queue(job_handle);
}

} // namespace coltsfootrack::placement
