// Runs of a fleet, and what they use of workers and of the limits of teams.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <iterator>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

} // namespace

active_run& fleet::add_run(worker_record& worker, const jobs::task_key& task,
                           std::uint64_t run, run_phase phase,
                           base::time_point now)
{
    active_run& added = worker.runs[task];
    added.run = run;
    added.phase = phase;
    added.ordered_at = now;
    added.known_at = now;
    added.progress_at = now;
    return added;
}

// A worker has confirmed or listed a run. An order alone is no evidence: the
// worker may refuse it, and its job then still waits.
void fleet::note_started(const jobs::task_key& task)
{
    if (job_record* job = find_job(task.step.job))
    {
        job->started = true;
    }
}

void fleet::attach(worker_record& worker, const jobs::task_key& task,
                   active_run& run, task_record& record)
{
    job_record& job = jobs_.at(task.step.job);
    const jobs::step_spec& spec = spec_of(job, task.step.step);
    step_record& step = *find_step(task.step);
    worker.used -= run.room;
    usage_[run.team] -= run.need;
    worker.unknown_size_runs -= run.size_unknown ? 1 : 0;
    run.size_unknown = false;
    run.orphaned = false;
    run.need = spec.need;
    run.room = spec.need;
    run.standing = spec.standing;
    run.estimate = spec.estimate;
    run.uses_leftover = spec.uses_leftover;
    run.latency_target_ms = static_cast<double>(spec.latency_target.count());
    run.team = job.submission.team;
    run.priority = job.queue != nullptr ? job.queue->priority : 0;
    run.preemptible = spec.checkpoints && !spec.gang && !spec.standing;
    if (spec.uses_leftover)
    {
        run.room.cpu_milli = 0;
        worker.leftover_used += spec.need.cpu_milli;
    }
    worker.used += run.room;
    usage_[run.team] += run.need;
    record.worker = worker.listing.worker;
    record.last_run = std::max(record.last_run, run.run);
    if (step.active == 0)
    {
        step.first_start = run.ordered_at;
    }
    ++step.active;
}

// An orphaned run counts against its worker until its end is reported. If its
// job is not known, neither are its resources, and the worker gets no new
// tasks.
void fleet::account_orphan(worker_record& worker, const jobs::task_key& task,
                           active_run& run)
{
    run.orphaned = true;
    const job_record* job = find_job(task.step.job);
    const std::size_t step = static_cast<std::size_t>(task.step.step);
    if (job == nullptr || step >= job->submission.spec.steps.size())
    {
        run.size_unknown = true;
        ++worker.unknown_size_runs;
        return;
    }
    const jobs::step_spec& spec = job->submission.spec.steps[step];
    run.room = spec.need;
    run.room.cpu_milli = spec.uses_leftover ? 0 : spec.need.cpu_milli;
    run.need = spec.need;
    run.team = job->submission.team;
    worker.used += run.room;
    usage_[run.team] += run.need;
}

fleet::run_map::iterator fleet::drop_run(worker_record& worker,
                                         run_map::iterator run)
{
    active_run& dropped = run->second;
    clear_stop(worker, dropped);
    worker.used -= dropped.room;
    worker.unknown_size_runs -= dropped.size_unknown ? 1 : 0;
    if (dropped.uses_leftover)
    {
        worker.leftover_used -= dropped.need.cpu_milli;
    }
    usage_[dropped.team] -= dropped.need;
    task_record* task = find_task(run->first);
    if (task != nullptr && task->worker == worker.listing.worker)
    {
        if (!dropped.checkpoint.empty())
        {
            task->checkpoint = dropped.checkpoint;
            task->checkpoint_percent = dropped.percent;
        }
        task->worker.reset();
        --find_step(run->first.step)->active;
    }
    return worker.runs.erase(run);
}

void fleet::drop_all_runs(worker_record& worker)
{
    for (auto run = worker.runs.begin(); run != worker.runs.end();)
    {
        run = drop_run(worker, run);
    }
}

// Whether a run may be in a life of its worker that has not reported. A start
// without a known outcome may have reached a later life, and an answer of that
// life may have confirmed it.
bool fleet::may_be_in_later_life(const worker_record& worker,
                                 const active_run& run)
{
    return worker.restart_seen_at || run.start_pending || run.start_uncertain;
}

// Drops the runs of a lost worker.
void fleet::drop_lost_runs(worker_record& worker, bool lost_in_any_life)
{
    const std::size_t before = worker.runs.size();
    for (auto it = worker.runs.begin(); it != worker.runs.end();)
    {
        const bool kept =
            !lost_in_any_life && may_be_in_later_life(worker, it->second);
        it = kept ? std::next(it) : drop_run(worker, it);
    }
    if (worker.runs.size() == before)
    {
        return;
    }
    base::log(base::log_level::warning, log_part,
              "Runs of a lost worker dropped. worker={} runs={} kept={} "
              "confirmed={} listed={} unanswered={} clock_ms={} "
              "lease_end_ms={}",
              worker.listing.worker.text(), before, worker.runs.size(),
              worker.unanswered_after_lease.confirmed, worker.listed,
              worker.unanswered_after_lease.count, worker.report_clock.count(),
              worker.lease.granted().value_or(worker.report_clock).count());
}

// Whether a run has certainly ended with the lease of its worker. That is not
// known of a run that may be in a later life of the worker, which may carry out
// its start late and hold a lease from then on.
bool fleet::has_lapsed(const worker_record& worker, const active_run& run,
                       base::time_point now) const
{
    return worker.unresponsive && lease_expired(worker, now) &&
           !may_be_in_later_life(worker, run);
}

// Drops the standing runs of a worker that does not answer, once their lease
// has expired. Others wait until the worker is lost, since they may have ended
// as done before, in a report that was not read. A standing run has no such
// end.
void fleet::drop_expired_standing_runs(worker_record& worker,
                                       base::time_point now)
{
    int dropped = 0;
    for (auto it = worker.runs.begin(); it != worker.runs.end();)
    {
        const bool ended =
            it->second.standing && has_lapsed(worker, it->second, now);
        dropped += ended ? 1 : 0;
        it = ended ? drop_run(worker, it) : std::next(it);
    }
    if (dropped > 0)
    {
        base::log(base::log_level::warning, log_part,
                  "Standing runs dropped, since their lease has expired. "
                  "worker={} runs={} kept={} listed={} clock_ms={} "
                  "lease_end_ms={}",
                  worker.listing.worker.text(), dropped, worker.runs.size(),
                  worker.listed, worker.report_clock.count(),
                  worker.lease.granted().value_or(worker.report_clock).count());
    }
}

// Drops the runs of the previous life of a worker. A start that was not
// confirmed before the renewal was sent may have reached the new life after it
// made the report.
void fleet::drop_runs_of_previous_life(worker_record& worker,
                                       const worker_report& report,
                                       base::time_point now)
{
    for (auto it = worker.runs.begin(); it != worker.runs.end();)
    {
        active_run& run = it->second;
        const bool confirmed = run.phase != run_phase::starting &&
                               !run.start_uncertain &&
                               run.known_at < report.sent_at;
        if (confirmed || run.last_listed_report > 0)
        {
            it = drop_run(worker, it);
            continue;
        }
        run.start_uncertain = true;
        run.known_at = now;
        if (run.phase == run_phase::stopping)
        {
            run.stop_done = false;
        }
        else
        {
            run.phase = run_phase::uncertain;
        }
        ++it;
    }
}

void fleet::request_stop(worker_record& worker, active_run& run)
{
    if (run.phase != run_phase::stopping)
    {
        run.phase = run_phase::stopping;
        run.stop_pending = true;
        run.stop_done = false;
        worker.has_pending_stops = true;
        ++worker.stopping;
        worker.stopping_room += run.room;
        stopping_usage_[run.team] += run.need;
    }
}

// Reverts the accounting of request_stop, before a run leaves that phase.
void fleet::clear_stop(worker_record& worker, active_run& run)
{
    if (run.phase == run_phase::stopping)
    {
        --worker.stopping;
        worker.stopping_room -= run.room;
        stopping_usage_[run.team] -= run.need;
    }
}

void fleet::adopt_orphans(const base::job_id& id, base::time_point now)
{
    for (auto& [worker_id, worker] : workers_)
    {
        if (worker.unknown_size_runs == 0)
        {
            // Only runs of unknown jobs can be adopted.
            continue;
        }
        for (auto run = worker.runs.lower_bound({{id, 0, 0}, 0});
             run != worker.runs.end() && run->first.step.job == id; ++run)
        {
            task_record* task = find_task(run->first);
            job_record& job = jobs_.at(id);
            if (!run->second.orphaned || task == nullptr || task->worker ||
                task->done || job.has_final_state())
            {
                continue;
            }
            clear_stop(worker, run->second);
            run->second.phase = run_phase::running;
            run->second.known_at = now;
            attach(worker, run->first, run->second, *task);
            job.started = true;
        }
    }
}

} // namespace coltsfootrack::fleet
