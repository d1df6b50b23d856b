// Processes worker reports: the runs listed, missing and ended.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_list.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

} // namespace

void fleet::on_report(const base::worker_id& id, const worker_report& report,
                      base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    const bool old =
        report.life < worker.life ||
        (report.life == worker.life && report.clock < worker.report_clock);
    if (worker.reports > 0 && old)
    {
        return;
    }
    worker.report_clock = report.clock;
    worker.replaced = false;
    if (worker.reports > 0 && worker.life != report.life)
    {
        const std::size_t runs = worker.runs.size();
        drop_runs_of_previous_life(worker, report, now);
        // What is left are starts whose outcome is not known.
        worker.lease.restart(report.clock, report.sent_at, now,
                             worker.runs.empty() ? std::chrono::milliseconds(0)
                                                 : options_.late_order);
        base::log(base::log_level::warning, log_part,
                  "Worker was restarted. worker={} life={} runs_lost={} "
                  "starts_unknown={} clock_ms={} lease_end_ms={}",
                  id.text(), report.life, runs - worker.runs.size(),
                  worker.runs.size(), report.clock.count(),
                  worker.lease.granted().value_or(report.clock).count());
        worker.ends.clear();
        worker.ends_seen = 0;
        worker.ends_durable = 0;
    }
    if (worker.unresponsive)
    {
        base::log(base::log_level::info, log_part,
                  "Worker answers again. worker={} runs={} listed={} ended={} "
                  "clock_ms={} lease_end_ms={}",
                  id.text(), worker.runs.size(), report.running.size(),
                  report.ended.size(), report.clock.count(),
                  worker.lease.granted().value_or(report.clock).count());
    }
    if (!worker.synced)
    {
        base::log(
            base::log_level::info, log_part,
            "First report of a worker received. worker={} running={} ended={}",
            id.text(), report.running.size(), report.ended.size());
    }
    worker.life = report.life;
    worker.unresponsive = false;
    if (worker.restart_seen_at && report.sent_at > *worker.restart_seen_at)
    {
        worker.restart_seen_at.reset();
    }
    worker.unanswered_after_lease = unanswered_renewals();
    worker.unanswered_after_later_lease = unanswered_renewals();
    worker.silence_confirmed = false;
    ++worker.reports;
    worker.lease.note_clock(report.clock, report.sent_at, now);
    const bool all_read = process_ended(worker, report, now) && report.all_ends;
    process_running(worker, report, now);
    if (all_read)
    {
        process_missing(worker, report);
    }
    worker.synced = worker.synced || all_read;
    advance_acknowledged(worker);
}

void fleet::process_running(worker_record& worker, const worker_report& report,
                            base::time_point now)
{
    for (const listed_run& listed : report.running)
    {
        expect_occurrence(listed.task.step);
        auto found = worker.runs.find(listed.task);
        if (found != worker.runs.end() && found->second.run != listed.run &&
            found->second.phase == run_phase::starting &&
            found->second.run > listed.run)
        {
            // The list predates the execution of our newer start order.
            found->second.last_listed_report = worker.reports;
            continue;
        }
        if (found != worker.runs.end() && found->second.run != listed.run)
        {
            found->second.run = listed.run;
            found->second.stop_done = false;
        }
        if (found == worker.runs.end())
        {
            active_run& added = add_run(worker, listed.task, listed.run,
                                        run_phase::running, now);
            account_orphan(worker, listed.task, added);
            found = worker.runs.find(listed.task);
            task_record* task = find_task(listed.task);
            job_record* job = find_job(listed.task.step.job);
            if (task != nullptr && !task->done && !task->worker &&
                listed.run >= task->last_run && !job->has_final_state())
            {
                attach(worker, listed.task, added, *task);
                job->started = true;
                base::log(
                    base::log_level::info, log_part,
                    "Run adopted. job={} occurrence={} step={} task={} run={} "
                    "worker={}",
                    listed.task.step.job.text(), listed.task.step.occurrence,
                    listed.task.step.step, listed.task.index, listed.run,
                    worker.listing.worker.text());
            }
            else if (job != nullptr)
            {
                base::log(base::log_level::info, log_part,
                          "Stopping a run that is not needed. job={} "
                          "occurrence={} step={} "
                          "task={} run={} "
                          "worker={}",
                          listed.task.step.job.text(),
                          listed.task.step.occurrence, listed.task.step.step,
                          listed.task.index, listed.run,
                          worker.listing.worker.text());
                request_stop(worker, added);
            }
        }
        active_run& run = found->second;
        run.missing_reports = 0;
        run.last_listed_report = worker.reports;
        run.start_uncertain = false;
        run.start_pending = false;
        if (run.phase == run_phase::starting ||
            run.phase == run_phase::uncertain)
        {
            run.phase = run_phase::running;
            run.known_at = now;
            note_started(listed.task);
        }
        if (run.percent != listed.percent)
        {
            note_progress(worker, run, listed.percent, now);
        }
        run.load = listed.load;
        run.checkpoint = listed.checkpoint;
    }
}

void fleet::process_missing(worker_record& worker, const worker_report& report)
{
    for (auto run = worker.runs.begin(); run != worker.runs.end();)
    {
        active_run& active = run->second;
        const bool present = active.last_listed_report == worker.reports;
        if (!present && active.phase == run_phase::uncertain &&
            report.sent_at > active.known_at)
        {
            // The start order may still arrive; a stop order that was executed
            // prevents the worker from starting the run later.
            request_stop(worker, active);
        }
        const bool settled = active.phase == run_phase::running
                                 ? report.sent_at > active.known_at
                                 : active.phase == run_phase::stopping &&
                                       active.stop_done &&
                                       report.sent_at > active.stop_at;
        if (present || !settled)
        {
            ++run;
            continue;
        }
        ++active.missing_reports;
        const int allowed = active.phase == run_phase::stopping
                                ? 1
                                : options_.max_missing_reports;
        if (active.missing_reports < allowed)
        {
            ++run;
            continue;
        }
        base::log(base::log_level::info, log_part,
                  "Run is gone without an end. job={} occurrence={} step={} "
                  "task={} run={} "
                  "worker={}",
                  run->first.step.job.text(), run->first.step.occurrence,
                  run->first.step.step, run->first.index, active.run,
                  worker.listing.worker.text());
        run = drop_run(worker, run);
    }
}

// Returns whether all ends were processed. If not, the end of a run that is not
// listed may be among the rest.
bool fleet::process_ended(worker_record& worker, const worker_report& report,
                          base::time_point now)
{
    if (report.ended.empty())
    {
        return true;
    }
    base::log_list line(base::log_level::info, log_part,
                        "Runs ended. worker=" + worker.listing.worker.text() +
                            " ends=");
    for (const run_end& end : report.ended)
    {
        if (end.number <= worker.ends_seen)
        {
            continue;
        }
        const job_record* job = find_job(end.task.step.job);
        if (job == nullptr)
        {
            // This leader may not have loaded the row of the job yet, and the
            // worker forgets an end once it is acknowledged.
            if (!worker.unknown_since)
            {
                worker.unknown_since = now;
            }
            if (now - *worker.unknown_since < options_.unknown_job_timeout)
            {
                return false;
            }
            base::log(base::log_level::warning, log_part,
                      "Run end of an unknown job accepted without effect. "
                      "job={} occurrence={} step={} task={} run={} "
                      "worker={} how={}",
                      end.task.step.job.text(), end.task.step.occurrence,
                      end.task.step.step, end.task.index, end.run,
                      worker.listing.worker.text(), name_of(end.kind));
        }
        worker.unknown_since.reset();
        worker.ends_seen = end.number;
        apply_end(worker, end, line, now);
    }
    return true;
}

void fleet::apply_end(worker_record& worker, const run_end& end,
                      base::log_list& line, base::time_point now)
{
    const auto run = worker.runs.find(end.task);
    base::time_point ordered_at = now;
    if (run != worker.runs.end() && run->second.run <= end.run)
    {
        ordered_at = run->second.ordered_at;
        drop_run(worker, run);
    }
    expect_occurrence(end.task.step);
    job_record* job = find_job(end.task.step.job);
    task_record* task = find_task(end.task);
    if (job == nullptr || task == nullptr)
    {
        // The end of a finished occurrence waits for its progress to be stored.
        worker.ends.push_back(
            {end.number, end.task.step.job, job == nullptr ? 0 : job->change});
        return;
    }
    job->started = true;
    task->last_run = std::max(task->last_run, end.run);
    if (!end.checkpoint.empty())
    {
        task->checkpoint = end.checkpoint;
    }
    const std::uint64_t before = job->change;
    // The task is gone if its occurrence has finished.
    std::size_t failures = task->failures.size();
    if (end.kind == end_kind::done)
    {
        note_done(worker);
        apply_done(*job, end.task);
        check_completed(*job, now);
    }
    else if (end.kind == end_kind::failed)
    {
        task->avoided_worker = worker.listing.worker;
        note_failure(worker, end.task, ordered_at, now);
        apply_failure(*job, end, now);
        failures = task->failures.size();
    }
    line.add("{}.{}.{}.{}:{}:{}:{}", end.task.step.job.text(),
             end.task.step.occurrence, end.task.step.step, end.task.index,
             end.run, name_of(end.kind), failures);
    // An end that changes nothing needs no write, but one that repeats a change
    // that is not stored yet is acknowledged only after that change.
    const bool counted =
        end.kind == end_kind::done || end.kind == end_kind::failed;
    worker.ends.push_back({end.number, job->id,
                           counted || job->change != before ? job->change : 0});
}

void fleet::advance_acknowledged(worker_record& worker)
{
    while (!worker.ends.empty())
    {
        const unacknowledged_end& first = worker.ends.front();
        const job_record* job = find_job(first.job);
        if (job != nullptr && job->change_saved < first.change)
        {
            return;
        }
        worker.ends_durable = first.number;
        worker.ends.pop_front();
    }
}

} // namespace coltsfootrack::fleet
