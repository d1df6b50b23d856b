// The life of a job between its submission and its end.

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
    // task is paused.
    return job.spec.kind != job_kind::gang ||
           (!job.breaking && job.delayed == 0);
}

shape_key scheduler::core::key_of(const job_record& job) const
{
    shape_key key;
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

void scheduler::core::update_queue(handle place)
{
    job_record& job = jobs_[place];
    team_record& team = teams_[job.team];
    const bool ready = is_ready(job);
    const shape_key key = key_of(job);
    if (job.queued && (!ready || key != job.key))
    {
        leave_queue(job);
    }
    if (ready && !job.queued)
    {
        team.queues[static_cast<std::size_t>(key.level)].add(key, job.sequence,
                                                             place);
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

void scheduler::core::withdraw(handle place)
{
    job_record& job = jobs_[place];
    job.waiting.clear();
    job.delayed = 0;
    update_queue(place);
    drop_holds(place, job.holds);
    drop_reservation(place);
}

void scheduler::core::queue_endings(const job_record& job)
{
    for (const handle place : job.bookings)
    {
        endings_.push_back({place, bookings_[place].serial});
    }
}

void scheduler::core::fail_job(handle place, std::string detail)
{
    job_record& job = jobs_[place];
    if (job.ending)
    {
        return;
    }
    job.ending = true;
    job.condemned = true;
    ++totals_.condemned;
    action notice = job_action(action_type::fail_job, job);
    notice.detail = std::move(detail);
    notices_.push_back(std::move(notice));
    withdraw(place);
    queue_endings(job);
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

void scheduler::core::settle(handle place)
{
    job_record& job = jobs_[place];
    if (job.bookings.empty())
    {
        job.breaking = false;
        if (job.ending || job.implicit ||
            (job.waiting.empty() && job.delayed == 0))
        {
            notices_.push_back(job_action(action_type::complete, job));
            forget(place);
            return;
        }
    }
    update_queue(place);
}

void scheduler::core::forget(handle place)
{
    withdraw(place);
    jobs_by_id_.erase(jobs_[place].spec.id);
    jobs_.erase(place);
}

void scheduler::core::break_gang(handle place)
{
    job_record& job = jobs_[place];
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
    update_queue(place);
}

} // namespace coltsfootrack::placement
