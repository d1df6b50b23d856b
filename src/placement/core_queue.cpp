// The queue of waiting jobs, and the end of jobs.

#include "scheduler_core.hpp"

#include <utility>

namespace coltsfootrack::placement
{

bool scheduler::core::is_ready(const job_record& job)
{
    if (job.ending || job.waiting.empty())
    {
        return false;
    }
    // A gang starts as a whole: it waits until its last task has ended and no
    // task is in backoff.
    return job.spec.kind != job_kind::gang ||
           (!job.breaking && job.delayed == 0);
}

equivalence_key scheduler::core::key_of(const job_record& job) const
{
    equivalence_key key;
    key.size = job.size;
    key.run_time = job.spec.run_time;
    key.gang_tasks = job.spec.kind == job_kind::gang ? job.waiting.size() : 0;
    key.level = tier_of(job.spec);
    key.service = job.spec.kind == job_kind::service;
    key.exclusive = job.spec.exclusive;
    key.own_sequence = !job.failures.empty() || job.reserved || job.holds > 0
                           ? job.sequence
                           : 0;
    return key;
}

void scheduler::core::leave_queue(job_record& job)
{
    if (job.queued)
    {
        teams_[job.team].queues[static_cast<std::size_t>(job.key.level)].remove(
            job.key, job.sequence);
        job.queued = false;
        --queued_jobs_;
    }
}

void scheduler::core::update_queue(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    team_record& team = teams_[job.team];
    const bool ready = is_ready(job);
    const equivalence_key key = key_of(job);
    if (job.queued && (!ready || key != job.key))
    {
        leave_queue(job);
    }
    if (ready && !job.queued)
    {
        team.queues[static_cast<std::size_t>(key.level)].add(key, job.sequence,
                                                             job_handle);
        job.key = key;
        job.queued = true;
        ++queued_jobs_;
        changed_ = true;
    }
    const std::uint32_t tasks = ready ? job.waiting.size() : 0;
    team.waiting_tasks += tasks;
    team.waiting_tasks -= job.counted_tasks;
    team.waiting += job.size * tasks - job.counted_size;
    job.counted_tasks = tasks;
    job.counted_size = job.size * tasks;
}

void scheduler::core::drop_pending_work(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    job.waiting.clear();
    job.delayed = 0;
    update_queue(job_handle);
    drop_holds(job_handle, job.holds);
    drop_reservation(job_handle);
}

void scheduler::core::queue_ending_tasks(const job_record& job)
{
    for (const handle booking_handle : job.bookings)
    {
        ending_tasks_.push_back(
            {booking_handle, bookings_[booking_handle].serial});
    }
}

void scheduler::core::fail_job(handle job_handle, std::string detail)
{
    job_record& job = jobs_[job_handle];
    if (job.ending)
    {
        return;
    }
    job.ending = true;
    job.failed = true;
    ++totals_.jobs_failed;
    action notice = job_action(action_type::fail_job, job);
    notice.detail = std::move(detail);
    notices_.push_back(std::move(notice));
    drop_pending_work(job_handle);
    queue_ending_tasks(job);
}

action scheduler::core::job_action(action_type type,
                                   const job_record& job) const
{
    action result;
    result.type = type;
    result.task.job = job.spec.id;
    result.team = job.spec.team;
    result.workload = job.spec.workload;
    result.kind = job.spec.kind;
    result.urgent = job.spec.urgent;
    result.exclusive = job.spec.exclusive;
    return result;
}

void scheduler::core::complete_or_requeue(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    if (job.bookings.empty())
    {
        job.breaking = false;
        if (job.ending || job.implicit ||
            (job.waiting.empty() && job.delayed == 0))
        {
            notices_.push_back(job_action(action_type::complete, job));
            erase_job(job_handle);
            return;
        }
    }
    update_queue(job_handle);
}

void scheduler::core::erase_job(handle job_handle)
{
    drop_pending_work(job_handle);
    jobs_by_id_.erase(jobs_[job_handle].spec.id);
    jobs_.erase(job_handle);
}

void scheduler::core::break_gang(handle job_handle)
{
    job_record& job = jobs_[job_handle];
    if (job.spec.kind != job_kind::gang || job.breaking || job.ending)
    {
        return;
    }
    job.breaking = true;
    for (const handle other : job.bookings)
    {
        request_stop(other, stop_reason::gang_broken, options_.stop_grace,
                     false);
    }
    update_queue(job_handle);
}

} // namespace coltsfootrack::placement
