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
//
// A run without progress has the same two causes. Long tasks list a new percent
// rarely, so a run is stalled only after several times as long as a percent of
// it should take, and each further time the task is given twice as long. The
// worker is to blame only if tasks of several jobs stand still there, and none
// moves.

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

// How often stalled runs are looked for: it visits every run of the cell, and a
// run counts as stalled only after seconds.
constexpr std::chrono::milliseconds stall_check_period{100};

// The progress of a run is listed in whole percent.
constexpr int percents = 100;

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

// Ends a quarantine whose failures are those of jobs that fail elsewhere too.
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

// How long a run may list the same percent. Its own pace, once it is known,
// goes before the estimate of its step.
base::duration fleet::stall_limit(const active_run& run,
                                  const jobs::task_key& key)
{
    const job_record* job = find_job(key.step.job);
    const task_record* task = find_task(key);
    base::duration percent = run.slowest_percent;
    if (percent == base::duration(0) && job != nullptr && task != nullptr)
    {
        percent = spec_of(*job, key.step.step).estimate / percents;
    }
    const base::duration limit = std::max<base::duration>(
        options_.stall_timeout, options_.stall_percents * percent);
    constexpr int most_doublings = 10;
    const int stalls = task == nullptr ? 0 : task->stalls;
    return limit * (1 << std::min(stalls, most_doublings));
}

void fleet::note_progress(worker_record& worker, active_run& run, int percent,
                          base::time_point now)
{
    if (percent > run.percent)
    {
        run.slowest_percent = std::max<base::duration>(
            run.slowest_percent,
            (now - run.progress_at) / (percent - run.percent));
    }
    run.percent = percent;
    run.progress_at = now;
    worker.stalled_jobs.clear();
}

void fleet::stop_stalled(base::time_point now)
{
    if (now - stalls_checked_at_ < stall_check_period)
    {
        return;
    }
    stalls_checked_at_ = now;
    for (auto& [id, worker] : workers_)
    {
        if (worker.unresponsive)
        {
            continue;
        }
        for (auto& [key, run] : worker.runs)
        {
            if (run.phase != run_phase::running || run.standing ||
                run.uses_leftover || run.orphaned ||
                now - run.progress_at < options_.stall_timeout ||
                now - run.progress_at < stall_limit(run, key))
            {
                continue;
            }
            task_record* task = find_task(key);
            base::log(base::log_level::warning, log_part,
                      "Stopping a stalled run. job={} occurrence={} step={} "
                      "task={} run={} worker={} percent={} stalled_ms={} "
                      "stalls={}",
                      key.step.job.text(), key.step.occurrence, key.step.step,
                      key.index, run.run, id.text(), run.percent,
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - run.progress_at)
                          .count(),
                      task == nullptr ? 0 : task->stalls);
            request_stop(worker, run);
            if (task != nullptr)
            {
                task->avoided_worker = id;
                ++task->stalls;
            }
            worker.stalled_jobs.insert(key.step.job);
        }
        if (static_cast<int>(worker.stalled_jobs.size()) >=
            options_.quarantine_jobs)
        {
            worker.stalled_jobs.clear();
            worker.quarantined_until =
                std::max(worker.quarantined_until, now + options_.quarantine);
            base::log(base::log_level::warning, log_part,
                      "Worker quarantined: tasks of several jobs stand still. "
                      "worker={}",
                      id.text());
        }
    }
}

} // namespace coltsfootrack::fleet
