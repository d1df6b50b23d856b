// The search for workers and the start of tasks.

#include "scheduler_core.hpp"

#include "fit.hpp"
#include <coltsfootrack/base/hex_token.hpp>

#include <algorithm>
#include <utility>

namespace coltsfootrack::placement
{

bool scheduler::core::could_run_elsewhere(const job_record& job,
                                          std::uint32_t index) const
{
    const bool gang = job.spec.kind == job_kind::gang;
    std::int64_t tasks = gang ? job.spec.task_count - job.finished : 1;
    for (handle worker_handle = 0; worker_handle < pool_.end() && tasks > 0;
         ++worker_handle)
    {
        const worker_record& worker = pool_[worker_handle];
        if (worker.known && worker.state == worker_state::live &&
            worker.health == worker_health::healthy &&
            std::none_of(job.failures.begin(), job.failures.end(),
                         [&](const task_failure& failure)
                         {
                             return failure.worker_serial == worker.serial &&
                                    (gang || failure.index == index);
                         }))
        {
            tasks -= fit_count(worker.spec.capacity, job.size, tasks);
        }
    }
    return tasks <= 0;
}

std::vector<std::uint64_t>
scheduler::core::workers_to_avoid(const job_record& job) const
{
    // After some time the worker is tried again, since no other worker may ever
    // have room.
    std::vector<std::uint64_t> workers;
    if (job.failures.empty() || job.waiting.empty())
    {
        return workers;
    }
    const std::uint32_t index = job.waiting.lowest();
    for (const task_failure& failure : job.failures)
    {
        if ((failure.index == index || job.spec.kind == job_kind::gang) &&
            now_ - failure.when < options_.avoid_time)
        {
            workers.push_back(failure.worker_serial);
        }
    }
    if (!workers.empty() && !could_run_elsewhere(job, index))
    {
        workers.clear();
    }
    return workers;
}

worker_query scheduler::core::query_of(handle job_handle) const
{
    const job_record& job = jobs_[job_handle];
    const tier level = tier_of(job.spec);
    worker_query query;
    query.size = job.size;
    query.job = job_handle;
    query.respects_reservations = level == tier::batch;
    if (job.spec.run_time > base::duration::zero())
    {
        query.end = now_ + job.spec.run_time;
    }
    query.allows_probation = level == tier::batch &&
                             job.spec.kind == job_kind::batch &&
                             !job.spec.exclusive;
    // A task that fits only accelerator VMs may use any of them.
    query.keeps_accelerators =
        options_.keep_accelerators && job.size.accelerators == 0 &&
        pool_.plain_worker_could_fit(job.size) &&
        (level == tier::service ||
         (level == tier::batch &&
          (accelerators_wanted_ || accelerators_missing_)));
    query.avoid = workers_to_avoid(job);
    if (job.spec.rack_spread)
    {
        query.rack_tasks = &job.rack_tasks;
    }
    return query;
}

bool scheduler::core::start_tasks(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    const worker_query query = query_of(job_handle);
    const std::uint32_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    if (tasks > 1 && !pool_.can_fit_all(query, tasks))
    {
        return false;
    }
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        const handle worker = pool_.best_worker(query);
        if (worker == no_handle)
        {
            return false;
        }
        start_task(job_handle, worker);
    }
    // Room found elsewhere replaces room that is still being freed.
    if (job.holds > job.waiting.size())
    {
        drop_holds(job_handle, job.holds - job.waiting.size());
    }
    drop_reservation(job_handle);
    update_queue(job_handle);
    return true;
}

void scheduler::core::start_task(handle job_handle, handle worker)
{
    job_record& job = jobs_[job_handle];
    const std::uint32_t index = job.waiting.lowest();
    job.waiting.erase(index);
    const handle booked = book(job_handle, index, worker, job.size,
                               base::hex_token(random_), now_);
    const worker_record& chosen = pool_[worker];
    bookings_[booked].backfill = tier_of(job.spec) == tier::batch &&
                                 chosen.reserved_for != no_handle &&
                                 chosen.reserved_for != job_handle;
    action start = job_action(action_type::start, job);
    start.task.index = index;
    start.worker = chosen.spec.id;
    start.token = bookings_[booked].token;
    start.size = job.size;
    start.run_time = job.spec.run_time;
    actions_.push_back(std::move(start));
}

} // namespace coltsfootrack::placement
