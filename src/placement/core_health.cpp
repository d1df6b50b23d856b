// Distinguishes failing workers from jobs that fail on every worker.
//
// A job is at fault if it fails on several workers; a worker is at fault if
// several jobs fail on it that do not fail elsewhere. When one side is found
// at fault, its failures no longer count against the other side.

#include "scheduler_core.hpp"

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::placement
{
namespace
{

// The number of failures kept of one job or worker; the oldest are dropped.
constexpr std::size_t max_failures = 64;

constexpr base::duration longest_quarantine = std::chrono::hours(1);

} // namespace

std::size_t scheduler::core::failed_workers(const job_record& job) const
{
    absl::flat_hash_set<std::uint64_t> workers;
    for (const task_failure& failure : job.failures)
    {
        workers.insert(failure.worker_serial);
    }
    return workers.size();
}

void scheduler::core::drop_old_failures(job_record& job) const
{
    const base::time_point oldest = now_ - options_.failure_window;
    job.failures.erase(std::remove_if(job.failures.begin(), job.failures.end(),
                                      [oldest](const task_failure& failure)
                                      { return failure.when < oldest; }),
                       job.failures.end());
    if (job.failures.size() >= max_failures)
    {
        job.failures.erase(job.failures.begin());
    }
}

bool scheduler::core::is_at_fault(const job_record& job,
                                  std::uint32_t index) const
{
    absl::flat_hash_set<std::uint64_t> workers;
    std::size_t failures = 0;
    for (const task_failure& failure : job.failures)
    {
        if (failure.index == index)
        {
            workers.insert(failure.worker_serial);
            ++failures;
        }
    }
    if (workers.size() >= options_.fail_job_after_workers)
    {
        return true;
    }
    // Tasks that finished or still run count in favour of the job. The failed
    // task itself is still booked.
    const std::size_t finished_or_running =
        job.finished + job.bookings.size() - 1;
    if (failed_workers(job) >=
        options_.fail_job_after_workers + finished_or_running)
    {
        return true;
    }
    return failures >= options_.fail_job_after_failures &&
           !could_run_elsewhere(job, index);
}

void scheduler::core::record_failure(handle job_handle, const booking& failed,
                                     std::string_view reason,
                                     base::time_point now)
{
    job_record& job = jobs_[job_handle];
    worker_record& worker = pool_[failed.worker];
    if (worker.health != worker_health::healthy)
    {
        // The worker is suspected already; its failures do not count against
        // jobs.
        if (worker.health == worker_health::probation)
        {
            quarantine(worker, now);
        }
        return;
    }
    const base::time_point oldest = now - options_.failure_window;
    worker.failures.erase(std::remove_if(worker.failures.begin(),
                                         worker.failures.end(),
                                         [oldest](const worker_failure& failure)
                                         { return failure.when < oldest; }),
                          worker.failures.end());
    if (worker.failures.size() >= max_failures)
    {
        worker.failures.erase(worker.failures.begin());
    }
    worker.failures.push_back({job.spec.id, now});
    drop_old_failures(job);
    job.failures.push_back({failed.index, worker.serial, now});
    update_queue(job_handle);

    absl::flat_hash_set<base::job_id> jobs;
    for (const worker_failure& failure : worker.failures)
    {
        const auto known = jobs_by_id_.find(failure.job);
        if (known == jobs_by_id_.end() ||
            failed_workers(jobs_[known->second]) < 2)
        {
            jobs.insert(failure.job);
        }
    }
    if (jobs.size() >= options_.quarantine_jobs)
    {
        quarantine(worker, now);
        // The failures are attributed to the worker even if too many workers
        // are in quarantine already.
        drop_failures_on(worker);
        return;
    }
    if (job.ending || job.implicit || !is_at_fault(job, failed.index))
    {
        return;
    }
    for (handle i = 0; i < pool_.end(); ++i)
    {
        std::vector<worker_failure>& failures = pool_[i].failures;
        failures.erase(std::remove_if(failures.begin(), failures.end(),
                                      [&job](const worker_failure& failure)
                                      { return failure.job == job.spec.id; }),
                       failures.end());
    }
    fail_job(job_handle,
             fmt::format("task {} failed; the job failed {} times on {} "
                         "workers, last reason: {}",
                         failed.index, job.failures.size(), failed_workers(job),
                         reason));
}

void scheduler::core::drop_failures_on(worker_record& worker)
{
    for (const worker_failure& failure : worker.failures)
    {
        const auto known = jobs_by_id_.find(failure.job);
        if (known == jobs_by_id_.end())
        {
            continue;
        }
        std::vector<task_failure>& failures = jobs_[known->second].failures;
        failures.erase(std::remove_if(failures.begin(), failures.end(),
                                      [&worker](const task_failure& candidate) {
                                          return candidate.worker_serial ==
                                                 worker.serial;
                                      }),
                       failures.end());
        update_queue(known->second);
    }
    worker.failures.clear();
}

bool scheduler::core::quarantine(worker_record& worker, base::time_point now)
{
    const std::size_t max_quarantined = std::max<std::size_t>(
        1, pool_.size() * options_.max_quarantined_percent / 100);
    if (quarantined_.size() >= max_quarantined)
    {
        return false;
    }
    base::duration span = options_.quarantine_time;
    for (std::uint32_t i = 0;
         i < worker.quarantines && span < longest_quarantine; ++i)
    {
        span *= 2;
    }
    worker.health = worker_health::quarantined;
    worker.health_until = now + std::min(span, longest_quarantine);
    worker.probation_finished = 0;
    ++worker.quarantines;
    ++totals_.quarantines;
    quarantined_.push_back({pool_.find(worker.spec.id), worker.serial});
    return true;
}

void scheduler::core::end_quarantines()
{
    // Moves a worker on when its phase is over. Returns whether the entry is no
    // longer needed.
    const auto advance_phase = [this](const serial_handle& entry,
                                      worker_health phase, worker_health next)
    {
        worker_record& worker = pool_[entry.record];
        if (worker.serial != entry.serial || worker.health != phase)
        {
            return true;
        }
        if (worker.health_until > now_)
        {
            return false;
        }
        worker.health = next;
        room_changed();
        return true;
    };
    for (std::size_t i = on_probation_.size(); i > 0; --i)
    {
        if (advance_phase(on_probation_[i - 1], worker_health::probation,
                          worker_health::healthy))
        {
            on_probation_.erase(on_probation_.begin() +
                                static_cast<std::ptrdiff_t>(i - 1));
        }
    }
    for (std::size_t i = quarantined_.size(); i > 0; --i)
    {
        const serial_handle entry = quarantined_[i - 1];
        if (!advance_phase(entry, worker_health::quarantined,
                           worker_health::probation))
        {
            continue;
        }
        quarantined_.erase(quarantined_.begin() +
                           static_cast<std::ptrdiff_t>(i - 1));
        if (pool_[entry.record].serial == entry.serial)
        {
            pool_[entry.record].health_until = now_ + options_.probation_time;
            on_probation_.push_back(entry);
        }
    }
}

void scheduler::core::record_success(const booking& finished)
{
    worker_record& worker = pool_[finished.worker];
    // A worker that finished a task which started after its failures is not at
    // fault for them.
    worker.failures.erase(
        std::remove_if(worker.failures.begin(), worker.failures.end(),
                       [&finished](const worker_failure& failure)
                       { return failure.when <= finished.started; }),
        worker.failures.end());
    if (worker.health != worker_health::probation ||
        ++worker.probation_finished < options_.probation_successes)
    {
        return;
    }
    worker.health = worker_health::healthy;
    worker.quarantines -= worker.quarantines > 0 ? 1 : 0;
    room_changed();
}

} // namespace coltsfootrack::placement
