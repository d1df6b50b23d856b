// The health of workers, judged by the runs that fail there.
//
// A worker that fails everything attracts ever more tasks, since its room is
// free again at once. A job that fails everywhere looks the same from each of
// the workers that it meets. They differ in what happens elsewhere: the tasks
// of a job that fails on one worker only, or are done on another, tell against
// the worker; those that fail on several and are never done tell against the
// job. So failures are kept with their task, and judged anew in each round.
//
// Load it answers: a burst of jobs that can never be done, beside workers that
// fail all they start.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

} // namespace

void fleet::note_done(worker_record& worker) const
{
    worker.failed_runs.clear();
    worker.quarantines = 0;
    worker.quarantine_evidence = 0;
}

void fleet::note_failure(worker_record& worker, const jobs::task_key& task,
                         base::time_point ordered_at, base::time_point now)
{
    find_task(task)->failed_on.add(worker.listing.worker);
    find_step(task.step)->failed_on.add(worker.listing.worker);
    // What was running when the quarantine began says nothing new.
    if (worker.quarantines > 0 && ordered_at <= worker.quarantined_at)
    {
        return;
    }
    worker.failed_runs.push_back(task);
    if (worker.failed_runs.size() > worker_record::max_failed_runs)
    {
        worker.failed_runs.pop_front();
        worker.quarantine_evidence -= worker.quarantine_evidence > 0 ? 1 : 0;
    }
    quarantine_if_failing(worker, now);
}

// Whether the failure of a task tells against the worker where it failed.
bool fleet::blames_worker(const jobs::task_key& task)
{
    const job_record* job = find_job(task.step.job);
    const task_record* record = find_task(task);
    if (record == nullptr)
    {
        return job != nullptr && (job->state == jobs::job_state::completed ||
                                  job->finished.contains(task.step.occurrence));
    }
    if (record->done)
    {
        return true;
    }
    const step_record& step = *find_step(task.step);
    return !record->failed_on.several &&
           (step.done > 0 || !step.failed_on.several);
}

// After a quarantine, one more failure is enough.
void fleet::quarantine_if_failing(worker_record& worker, base::time_point now)
{
    const std::size_t fresh =
        worker.failed_runs.size() - worker.quarantine_evidence;
    const int wanted =
        worker.quarantines > 0 ? 1 : options_.quarantine_failures;
    if (now < worker.quarantined_until || static_cast<int>(fresh) < wanted)
    {
        return;
    }
    int failures = 0;
    std::set<base::job_id> jobs;
    for (std::size_t i = 0; i < worker.failed_runs.size(); ++i)
    {
        const jobs::task_key& task = worker.failed_runs[i];
        if (!blames_worker(task))
        {
            continue;
        }
        failures += i >= worker.quarantine_evidence ? 1 : 0;
        jobs.insert(task.step.job);
    }
    if (failures < wanted ||
        static_cast<int>(jobs.size()) < options_.quarantine_jobs)
    {
        return;
    }
    constexpr int most_doublings = 16;
    const auto length = std::min<base::duration>(
        options_.quarantine *
            (1 << std::min(worker.quarantines, most_doublings)),
        options_.max_quarantine);
    ++worker.quarantines;
    worker.quarantined_at = now;
    worker.quarantined_until = now + length;
    worker.quarantine_evidence = worker.failed_runs.size();
    base::log(
        base::log_level::warning, log_part,
        "Worker quarantined. worker={} times={} failures={} jobs={} ms={}",
        worker.listing.worker.text(), worker.quarantines, failures, jobs.size(),
        std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

// Ends a quarantine for failures that have turned out to be those of jobs.
void fleet::end_unfounded_quarantine(worker_record& worker,
                                     base::time_point now)
{
    if (worker.quarantine_evidence == 0 || now >= worker.quarantined_until)
    {
        return;
    }
    std::set<base::job_id> jobs;
    for (const jobs::task_key& task : worker.failed_runs)
    {
        if (blames_worker(task))
        {
            jobs.insert(task.step.job);
        }
    }
    if (static_cast<int>(jobs.size()) >= options_.quarantine_jobs)
    {
        return;
    }
    base::log(base::log_level::info, log_part,
              "Quarantine ended: the jobs fail elsewhere too. worker={} "
              "failures={}",
              worker.listing.worker.text(), worker.failed_runs.size());
    note_done(worker);
    worker.quarantined_until = now;
}

// Keeps part of each service in use whatever the failures say: a cause that all
// workers share is not cured by using none. Those whose quarantine ends first
// are used.
void fleet::release_excess_quarantines(
    std::map<base::service_id, std::vector<worker_record*>>& usable,
    base::time_point now)
{
    for (auto& [service, workers] : usable)
    {
        std::vector<worker_record*> quarantined;
        std::copy_if(workers.begin(), workers.end(),
                     std::back_inserter(quarantined),
                     [now](const worker_record* worker)
                     { return now < worker->quarantined_until; });
        std::sort(quarantined.begin(), quarantined.end(),
                  [](const worker_record* a, const worker_record* b)
                  {
                      return std::tie(a->quarantined_until, a->number) <
                             std::tie(b->quarantined_until, b->number);
                  });
        const auto allowed = static_cast<std::size_t>(
            std::floor(static_cast<double>(workers.size()) *
                       options_.max_quarantined_fraction));
        const std::size_t used =
            quarantined.size() > allowed ? quarantined.size() - allowed : 0;
        for (std::size_t i = used; i < quarantined.size(); ++i)
        {
            quarantined[i]->schedulable = false;
        }
    }
}

} // namespace coltsfootrack::fleet
