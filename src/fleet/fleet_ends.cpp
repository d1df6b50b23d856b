// Applies the ends of runs to their jobs.

#include "stored_bytes.hpp"

#include <coltsfootrack/fleet/fleet.hpp>

namespace coltsfootrack::fleet
{

void fleet::apply_done(job_record& job, const jobs::task_key& key)
{
    step_record& step = *find_step(key.step);
    const jobs::step_spec& spec = spec_of(job, key.step.step);
    if (job.has_final_state() || spec.standing)
    {
        return;
    }
    const bool all = spec.gang;
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
    {
        task_record& task = step.tasks[i];
        if ((all || static_cast<int>(i) == key.index) && !task.done)
        {
            task.done = true;
            job.failure_bytes -= stored_bytes(task.failures);
            ++step.done;
            mark_changed(job);
        }
    }
    finish_occurrence(job, key.step.occurrence);
}

void fleet::apply_failure(job_record& job, const run_end& end,
                          base::time_point now)
{
    const jobs::step_spec& spec = spec_of(job, end.task.step.step);
    if (job.has_final_state() || spec.standing)
    {
        return;
    }
    // The members of a gang share their run numbers, so their failures are
    // counted at the first one.
    jobs::task_key counted = end.task;
    counted.index = spec.gang ? 0 : end.task.index;
    task_record& task = *find_task(counted);
    const std::size_t before = stored_bytes(task.failures);
    if (task.done || !task.failures.insert(end.run).second)
    {
        return;
    }
    job.failure_bytes += stored_bytes(task.failures) - before;
    mark_changed(job);
    const queue_policy* queue = job.queue;
    if (queue != nullptr &&
        static_cast<int>(task.failures.size()) >= queue->max_attempts)
    {
        finish_job(job, jobs::job_state::failed, now);
    }
}

} // namespace coltsfootrack::fleet
