// Workers of a fleet: their reports, the runs on them, and the ends.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

} // namespace

void fleet::list_worker(const worker_listing& listing, base::time_point now)
{
    const auto found = workers_.find(listing.worker);
    if (found == workers_.end())
    {
        worker_record added(
            listing, worker_lease(options_.lease, options_.longest_lease));
        added.number = next_worker_number_++;
        workers_.emplace(listing.worker, std::move(added));
        base::log(base::log_level::info, log_part,
                  "Worker listed. worker={} service={} address={} leaving={}",
                  listing.worker.text(), listing.service.text(),
                  listing.address, listing.leaving);
        return;
    }
    worker_record& worker = found->second;
    if (worker.listing.leaving != listing.leaving)
    {
        base::log(base::log_level::info, log_part,
                  "Worker state changed. worker={} leaving={}",
                  listing.worker.text(), listing.leaving);
    }
    if (!(worker.listing == listing))
    {
        worker.avoided_until = std::min(worker.avoided_until, now);
    }
    worker.listing = listing;
    worker.listed = true;
}

void fleet::unlist_worker(const base::worker_id& id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end() && found->second.listed)
    {
        found->second.listed = false;
        base::log(base::log_level::info, log_part,
                  "Worker not listed any more. worker={} runs={}", id.text(),
                  found->second.runs.size());
    }
}

bool fleet::has_worker(const base::worker_id& id) const
{
    return workers_.count(id) != 0;
}

std::optional<std::chrono::milliseconds>
fleet::grant_lease(const base::worker_id& id, base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.silent)
    {
        return std::nullopt;
    }
    return found->second.lease.grant(now);
}

std::uint64_t fleet::acknowledged(const base::worker_id& id) const
{
    const auto found = workers_.find(id);
    return found == workers_.end() ? 0 : found->second.ends_durable;
}

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

void fleet::attach(worker_record& worker, const jobs::task_key& task,
                   active_run& run, task_record& record)
{
    job_record& job = jobs_.at(task.step.job);
    const jobs::step_spec& spec = spec_of(job, task.step.step);
    step_record& step = *find_step(task.step);
    worker.used -= run.room;
    usage_[run.team] -= run.need;
    worker.unmeasured -= run.unmeasured ? 1 : 0;
    run.unmeasured = false;
    run.stray = false;
    run.need = spec.need;
    run.room = spec.need;
    run.standing = spec.standing;
    run.uses_leftover = spec.uses_leftover;
    run.latency_target_ms = static_cast<double>(spec.latency_target.count());
    run.team = job.submission.team;
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

// A run that nobody waits for takes its room until its end is listed. If its
// job is not known its room is not either, and the worker takes nothing new.
void fleet::measure_stray(worker_record& worker, const jobs::task_key& task,
                          active_run& run)
{
    run.stray = true;
    const job_record* job = find_job(task.step.job);
    const std::size_t step = static_cast<std::size_t>(task.step.step);
    if (job == nullptr || step >= job->submission.spec.steps.size())
    {
        run.unmeasured = true;
        ++worker.unmeasured;
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
    const active_run& dropped = run->second;
    worker.used -= dropped.room;
    worker.unmeasured -= dropped.unmeasured ? 1 : 0;
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
        }
        task->worker.reset();
        --find_step(run->first.step)->active;
    }
    return worker.runs.erase(run);
}

void fleet::lose_all(worker_record& worker)
{
    for (auto run = worker.runs.begin(); run != worker.runs.end();)
    {
        run = drop_run(worker, run);
    }
}

void fleet::request_stop(active_run& run)
{
    if (run.phase != run_phase::stopping)
    {
        run.phase = run_phase::stopping;
        run.stop_pending = true;
        run.stop_done = false;
    }
}

void fleet::on_silence(const base::worker_id& id)
{
    const auto found = workers_.find(id);
    if (found != workers_.end() && !found->second.silent)
    {
        found->second.silent = true;
        base::log(base::log_level::info, log_part,
                  "Worker does not answer. worker={} runs={}", id.text(),
                  found->second.runs.size());
    }
}

void fleet::on_report(const base::worker_id& id, const worker_report& report,
                      base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    if (worker.synced && worker.life != report.life)
    {
        base::log(base::log_level::warning, log_part,
                  "Worker was restarted. worker={} life={} runs_lost={}",
                  id.text(), report.life, worker.runs.size());
        lose_all(worker);
        worker.lease.reset();
        worker.ends.clear();
        worker.ends_seen = 0;
        worker.ends_durable = 0;
    }
    if (worker.silent)
    {
        base::log(base::log_level::info, log_part,
                  "Worker answers again. worker={}", id.text());
    }
    if (!worker.synced)
    {
        base::log(base::log_level::info, log_part,
                  "Worker reported first. worker={} running={} ended={}",
                  id.text(), report.running.size(), report.ended.size());
    }
    worker.life = report.life;
    worker.silent = false;
    worker.lease.note_clock(report.clock, now);
    read_ended(worker, report, now);
    read_running(worker, report, now);
    read_missing(worker, report);
    worker.synced = true;
    advance_acknowledged(worker);
}

void fleet::read_running(worker_record& worker, const worker_report& report,
                         base::time_point now)
{
    for (const listed_run& listed : report.running)
    {
        auto found = worker.runs.find(listed.task);
        if (found != worker.runs.end() && found->second.run != listed.run &&
            found->second.phase == run_phase::starting &&
            found->second.run > listed.run)
        {
            // The list was made before our newer order was carried out.
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
            measure_stray(worker, listed.task, added);
            found = worker.runs.find(listed.task);
            task_record* task = find_task(listed.task);
            job_record* job = find_job(listed.task.step.job);
            if (task != nullptr && !task->done && !task->worker &&
                listed.run >= task->last_run && !job->final_state())
            {
                attach(worker, listed.task, added, *task);
                job->begun = true;
                base::log(base::log_level::info, log_part,
                          "Run adopted. job={} step={} task={} run={} "
                          "worker={}",
                          listed.task.step.job.text(), listed.task.step.step,
                          listed.task.index, listed.run,
                          worker.listing.worker.text());
            }
            else if (job != nullptr)
            {
                base::log(base::log_level::info, log_part,
                          "Run not wanted. job={} step={} task={} run={} "
                          "worker={}",
                          listed.task.step.job.text(), listed.task.step.step,
                          listed.task.index, listed.run,
                          worker.listing.worker.text());
                request_stop(added);
            }
        }
        active_run& run = found->second;
        run.missing = 0;
        if (run.phase == run_phase::starting ||
            run.phase == run_phase::uncertain)
        {
            run.phase = run_phase::running;
            run.known_at = now;
        }
        if (run.percent != listed.percent)
        {
            run.percent = listed.percent;
            run.progress_at = now;
        }
        run.load = listed.load;
        run.checkpoint = listed.checkpoint;
    }
}

void fleet::read_missing(worker_record& worker, const worker_report& report)
{
    std::map<jobs::task_key, std::uint64_t> listed;
    for (const listed_run& run : report.running)
    {
        listed[run.task] = run.run;
    }
    for (auto run = worker.runs.begin(); run != worker.runs.end();)
    {
        active_run& active = run->second;
        const bool present = listed.count(run->first) != 0;
        if (!present && active.phase == run_phase::uncertain &&
            report.sent_at > active.known_at)
        {
            // The order may still be on its way; a stop that is carried out
            // keeps the worker from starting the run later.
            request_stop(active);
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
        ++active.missing;
        const int allowed =
            active.phase == run_phase::stopping ? 1 : options_.missing_reports;
        if (active.missing < allowed)
        {
            ++run;
            continue;
        }
        base::log(base::log_level::info, log_part,
                  "Run is gone without an end. job={} step={} task={} run={} "
                  "worker={}",
                  run->first.step.job.text(), run->first.step.step,
                  run->first.index, active.run, worker.listing.worker.text());
        run = drop_run(worker, run);
    }
}

void fleet::read_ended(worker_record& worker, const worker_report& report,
                       base::time_point now)
{
    for (const run_end& end : report.ended)
    {
        if (end.number <= worker.ends_seen)
        {
            continue;
        }
        const job_record* job = find_job(end.task.step.job);
        if (job == nullptr)
        {
            // The row of the job may still be on its way to this leader. An
            // end that is acknowledged is forgotten by the worker.
            if (!worker.unknown_since)
            {
                worker.unknown_since = now;
            }
            if (now - *worker.unknown_since < options_.unknown_job_wait)
            {
                return;
            }
            base::log(base::log_level::warning, log_part,
                      "End of an unknown job passed over. job={} worker={}",
                      end.task.step.job.text(), worker.listing.worker.text());
        }
        worker.unknown_since.reset();
        worker.ends_seen = end.number;
        apply_end(worker, end, now);
    }
}

void fleet::apply_end(worker_record& worker, const run_end& end,
                      base::time_point now)
{
    const auto run = worker.runs.find(end.task);
    if (run != worker.runs.end() && run->second.run <= end.run)
    {
        drop_run(worker, run);
    }
    job_record* job = find_job(end.task.step.job);
    task_record* task = find_task(end.task);
    if (job == nullptr || task == nullptr)
    {
        worker.ends.push_back({end.number, end.task.step.job, 0});
        return;
    }
    task->last_run = std::max(task->last_run, end.run);
    if (!end.checkpoint.empty())
    {
        task->checkpoint = end.checkpoint;
    }
    note_health(worker, end, now);
    const std::uint64_t before = job->change;
    if (end.kind == end_kind::done)
    {
        apply_done(*job, end.task);
        check_completed(*job, now);
    }
    else if (end.kind == end_kind::failed)
    {
        task->avoid = worker.listing.worker;
        apply_failure(*job, end, now);
    }
    base::log(base::log_level::info, log_part,
              "Run ended. job={} step={} task={} run={} worker={} how={} "
              "failures={}",
              end.task.step.job.text(), end.task.step.step, end.task.index,
              end.run, worker.listing.worker.text(), name_of(end.kind),
              task->failures.size());
    // An end that changes nothing needs no write, but one that repeats a
    // change that is not stored yet waits for it.
    const bool counted =
        end.kind == end_kind::done || end.kind == end_kind::failed;
    worker.ends.push_back({end.number, job->id,
                           counted || job->change != before ? job->change : 0});
}

void fleet::apply_done(job_record& job, const jobs::task_key& key)
{
    step_record& step = *find_step(key.step);
    const jobs::step_spec& spec = spec_of(job, key.step.step);
    if (job.final_state() || spec.standing)
    {
        return;
    }
    const bool all = spec.gang;
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
    {
        if ((all || static_cast<int>(i) == key.index) && !step.tasks[i].done)
        {
            step.tasks[i].done = true;
            ++step.done;
            mark_changed(job);
        }
    }
}

void fleet::apply_failure(job_record& job, const run_end& end,
                          base::time_point now)
{
    const jobs::step_spec& spec = spec_of(job, end.task.step.step);
    if (job.final_state() || spec.standing)
    {
        return;
    }
    // The members of a gang share their runs, so their failures are counted
    // at the first one.
    jobs::task_key counted = end.task;
    counted.index = spec.gang ? 0 : end.task.index;
    task_record& task = *find_task(counted);
    if (task.done || !task.failures.insert(end.run).second)
    {
        return;
    }
    mark_changed(job);
    const queue_policy* queue = job.queue;
    if (queue != nullptr &&
        static_cast<int>(task.failures.size()) >= queue->max_attempts)
    {
        finish_job(job, jobs::job_state::failed, now);
    }
}

void fleet::note_health(worker_record& worker, const run_end& end,
                        base::time_point now)
{
    if (end.kind == end_kind::done)
    {
        worker.failures = 0;
        worker.quarantines = 0;
        worker.several_jobs_failed = false;
        return;
    }
    if (end.kind != end_kind::failed)
    {
        return;
    }
    worker.several_jobs_failed =
        worker.several_jobs_failed ||
        (worker.failures > 0 && worker.failed_job != end.task.step.job);
    worker.failed_job = end.task.step.job;
    ++worker.failures;
    if (worker.failures >= options_.quarantine_failures &&
        worker.several_jobs_failed)
    {
        constexpr int longest = 3;
        const int doubled = std::min(worker.quarantines, longest);
        worker.avoided_until = now + options_.quarantine * (1 << doubled);
        ++worker.quarantines;
        worker.failures = options_.quarantine_failures - 1;
        base::log(base::log_level::warning, log_part,
                  "Worker quarantined. worker={} times={}",
                  worker.listing.worker.text(), worker.quarantines);
    }
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

void fleet::adopt_strays(const base::job_id& id, base::time_point now)
{
    for (auto& [worker_id, worker] : workers_)
    {
        for (auto run = worker.runs.lower_bound({{id, 0, 0}, 0});
             run != worker.runs.end() && run->first.step.job == id; ++run)
        {
            task_record* task = find_task(run->first);
            job_record& job = jobs_.at(id);
            if (!run->second.stray || task == nullptr || task->worker ||
                task->done || job.final_state())
            {
                continue;
            }
            run->second.phase = run_phase::running;
            run->second.known_at = now;
            attach(worker, run->first, run->second, *task);
            job.begun = true;
        }
    }
}

void fleet::on_start(const base::worker_id& id, const jobs::task_key& task,
                     std::uint64_t run, order_outcome outcome,
                     base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    worker_record& worker = found->second;
    const auto active = worker.runs.find(task);
    if (active == worker.runs.end() || active->second.run != run)
    {
        return;
    }
    if (outcome == order_outcome::carried_out)
    {
        if (active->second.phase == run_phase::starting)
        {
            active->second.phase = run_phase::running;
            active->second.known_at = now;
            active->second.progress_at = now;
        }
        return;
    }
    if (outcome == order_outcome::unknown)
    {
        if (active->second.phase == run_phase::starting)
        {
            active->second.phase = run_phase::uncertain;
            active->second.known_at = now;
        }
        return;
    }
    if (active->second.phase == run_phase::running)
    {
        // A repeated order; the first one was carried out.
        return;
    }
    drop_run(worker, active);
    step_record* step = find_step(task.step);
    if (step == nullptr)
    {
        return;
    }
    if (outcome == order_outcome::bad_ticket)
    {
        step->tickets.erase(worker.number);
    }
    else if (outcome == order_outcome::old_run)
    {
        // A run is known there that this leader does not know.
        constexpr std::uint64_t skipped_runs = 100;
        find_task(task)->last_run += skipped_runs;
    }
    else if (outcome != order_outcome::late)
    {
        worker.avoided_until =
            std::max(worker.avoided_until, now + options_.refusal_pause);
    }
}

void fleet::on_stop(const base::worker_id& id, const jobs::task_key& task,
                    std::uint64_t run, order_outcome outcome,
                    base::time_point now)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
    {
        return;
    }
    const auto active = found->second.runs.find(task);
    if (active == found->second.runs.end() || active->second.run != run ||
        active->second.phase != run_phase::stopping)
    {
        return;
    }
    if (outcome == order_outcome::unknown)
    {
        // settle_workers repeats it after stop_retry.
        return;
    }
    active->second.stop_done = true;
    active->second.stop_at = now;
}

} // namespace coltsfootrack::fleet
