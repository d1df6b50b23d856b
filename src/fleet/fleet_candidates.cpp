// The steps that have tasks to start, their order, and the workers that accept
// tasks.

#include "candidate.hpp"
#include "stored_bytes.hpp"

#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

// Added to the priority of the queue to give the rank of a step. A late job is
// worth a fifth of one on time, so it goes behind the next two priorities; jobs
// beyond the share of their team and far overdue jobs go last.
constexpr int overdue_rank = 2;
constexpr int over_share_rank = 10;
constexpr int far_overdue_rank = 100;

// A job that takes more than this multiple of its objective is of no use to
// its caller, as the platform documents.
constexpr int far_overdue_multiple = 3;

// Added for a job that may miss its objective, so that it goes behind those
// that will meet it: ordered by due time alone, the jobs about to be late would
// come first, and often be late anyway.
constexpr int at_risk_rank = 1;

// What the failures of the tasks of a job may take in the row of its stored
// progress, beside jobs::max_open_progress_bytes.
constexpr std::size_t max_failure_bytes = 36000;

// Estimates are rough. With at least pessimistic_factor times its estimate left
// a job counts as on time; with less than optimistic_factor times it counts as
// late.
constexpr double pessimistic_factor = 1.1;
constexpr double optimistic_factor = 0.8;

// The estimated time from now to the end of the job, less the progress that the
// checkpoints of the step have saved.
base::duration time_left(const candidate& next)
{
    int saved = 100;
    for (const int index : next.pending)
    {
        const task_record& task =
            next.record->tasks[static_cast<std::size_t>(index)];
        saved = std::min(saved, task.checkpoint_percent);
    }
    saved = next.pending.empty() ? 0 : saved;
    const auto path =
        next.job->remaining_times[static_cast<std::size_t>(next.key.step)];
    return path - next.spec->estimate * saved / 100;
}

// How many tasks that have not failed may be started: if all that run fail, the
// failures must fit into the row. A gang has one entry for all of its tasks.
std::size_t max_fresh_starts(const job_record& job)
{
    std::size_t running = 0;
    for (const auto& [occurrence, steps] : job.occurrences)
    {
        for (const step_record& step : steps)
        {
            running += static_cast<std::size_t>(step.active);
        }
    }
    const std::size_t held =
        job.failure_bytes / (failure_entry_bytes + failure_range_bytes) +
        running;
    constexpr std::size_t most =
        max_failure_bytes / (failure_entry_bytes + failure_range_bytes);
    return held < most ? most - held : 0;
}

// The rank of a step whose due time is set. Under overload not all jobs can be
// on time, so one that will be late anyway yields to those that can still be on
// time, instead of delaying them too.
int rank_of(const candidate& next, base::time_point now)
{
    const job_record& job = *next.job;
    int rank = next.queue->priority;
    if (!next.spec->standing)
    {
        const std::chrono::duration<double> path = time_left(next);
        const std::chrono::duration<double> time_until_due = next.due - now;
        const std::chrono::duration<double> more =
            (far_overdue_multiple - 1) * job.objective;
        if (optimistic_factor * path > time_until_due + more)
        {
            rank += far_overdue_rank;
        }
        else if (optimistic_factor * path > time_until_due)
        {
            rank += overdue_rank;
        }
        else if (pessimistic_factor * path > time_until_due)
        {
            rank += at_risk_rank;
        }
    }
    return job.over_share ? rank + over_share_rank : rank;
}

} // namespace

bool fleet::step_ready(const std::vector<step_record>& steps,
                       const jobs::step_spec& spec)
{
    return std::all_of(
        spec.after.begin(), spec.after.end(),
        [&](int earlier)
        {
            const step_record& step = steps[static_cast<std::size_t>(earlier)];
            return step.done == static_cast<int>(step.tasks.size());
        });
}

// Whether the steps it depends on are running and expected to end while tickets
// for this one are being decided.
bool fleet::step_ready_soon(const job_record& job,
                            const std::vector<step_record>& steps,
                            const jobs::step_spec& spec,
                            const queue_policy& queue,
                            base::time_point now) const
{
    if (!queue.tickets)
    {
        return false;
    }
    // The latency of the request besides the decision.
    constexpr std::chrono::milliseconds lead{250};
    const auto ahead =
        std::chrono::duration_cast<base::duration>(queue.tickets->decide_time) +
        lead;
    for (const int earlier : spec.after)
    {
        const step_record& step = steps[static_cast<std::size_t>(earlier)];
        if (step.done + step.active < static_cast<int>(step.tasks.size()))
        {
            return false;
        }
        const bool running = step.done < static_cast<int>(step.tasks.size());
        if (running &&
            now - step.first_start + ahead < spec_of(job, earlier).estimate)
        {
            return false;
        }
    }
    return true;
}

std::vector<candidate> fleet::candidates(base::time_point now)
{
    find_schedulable_workers(now);
    std::vector<candidate> found;
    std::vector<const job_record*> moving;
    for (const auto& [id, job] : open_jobs_)
    {
        if (job->queue == nullptr)
        {
            continue;
        }
        const std::size_t before = found.size();
        add_candidates(*job, rounds_[job->queue->service], now, found);
        if (found.size() > before && !is_service_stored(*job))
        {
            found.resize(before);
            moving.push_back(job);
        }
    }
    log_moving_jobs(moving);
    log_unseen_workers(now);
    std::sort(found.begin(), found.end());
    return found;
}

void fleet::add_candidates(job_record& job, service_round& round,
                           base::time_point now,
                           std::vector<candidate>& found) const
{
    std::size_t fresh_starts = max_fresh_starts(job);
    for (auto& [k, steps] : job.occurrences)
    {
        for (std::size_t s = 0; s < steps.size(); ++s)
        {
            step_record& step = steps[s];
            const int total = static_cast<int>(step.tasks.size());
            const auto departing =
                departing_.find({job.id, k, static_cast<int>(s)});
            if (step.done + step.active >= total &&
                departing == departing_.end())
            {
                continue;
            }
            const jobs::step_spec& spec = spec_of(job, static_cast<int>(s));
            if (may_run_unseen(job, spec))
            {
                continue;
            }
            const bool ready = step_ready(steps, spec);
            if (!ready && !step_ready_soon(job, steps, spec, *job.queue, now))
            {
                continue;
            }
            candidate next;
            for (int i = 0; ready && i < total; ++i)
            {
                const task_record& task =
                    step.tasks[static_cast<std::size_t>(i)];
                const bool fresh = task.failures.empty() && !spec.gang;
                if (task.done || task.worker || now < task.not_before ||
                    (fresh && fresh_starts == 0))
                {
                    continue;
                }
                fresh_starts -= fresh ? 1 : 0;
                next.pending.push_back(i);
            }
            if (spec.gang && ready &&
                static_cast<int>(next.pending.size()) < total)
            {
                continue;
            }
            if (departing != departing_.end())
            {
                next.departing = departing->second;
            }
            next.job = &job;
            next.queue = job.queue;
            next.round = &round;
            next.record = &step;
            next.spec = &spec;
            next.key = {job.id, k, static_cast<int>(s)};
            next.due = job.release_time(k) + job.objective;
            next.rank = rank_of(next, now);
            found.push_back(std::move(next));
        }
    }
}

void fleet::collect_lapsed_usage(const worker_record& worker,
                                 base::time_point now)
{
    for (const auto& [key, run] : worker.runs)
    {
        if (has_lapsed(worker, run, now))
        {
            lapsed_usage_[run.team] += run.need;
        }
    }
}

// Collects the workers of each service that accept tasks in this round. Beyond
// that, a step may only require a label.
void fleet::find_schedulable_workers(base::time_point now)
{
    rounds_.clear();
    departing_.clear();
    lapsed_usage_.clear();
    unknown_usage_ = base::resources();
    std::map<base::service_id, std::vector<worker_record*>> usable;
    for (auto& [id, worker] : workers_)
    {
        service_round& round = rounds_[worker.listing.service];
        const bool runs_unknown = !worker.synced && !is_lost(worker);
        round.runs_unknown =
            round.runs_unknown || runs_unknown || !list_complete_;
        // A call of a former leader may arrive late, and a later life of the
        // worker carry it out late. A worker that leaves has no later life.
        const auto late = worker.listing.leaving ? options_.lease_delivery
                                                 : options_.late_order;
        const bool lease_possible =
            runs_unknown && !lease_expired(worker, now - late);
        round.lease_possible =
            round.lease_possible || !list_complete_ || lease_possible;
        if (runs_unknown && worker.former_service)
        {
            service_round& former = rounds_[*worker.former_service];
            former.runs_unknown = true;
            former.lease_possible = former.lease_possible || lease_possible;
        }
        if (lease_possible || worker.unknown_size_runs > 0)
        {
            unknown_usage_ += worker.listing.capacity;
        }
        worker.reserved_for = nullptr;
        worker.reserved_room = base::resources();
        worker.held_room = base::resources();
        worker.held_leftover = 0;
        worker.victims.clear();
        worker.schedulable = worker.listed && worker.synced &&
                             !worker.unresponsive && !worker.starts_held &&
                             worker.unknown_size_runs == 0 &&
                             !worker.listing.leaving;
        if (worker.unresponsive)
        {
            collect_lapsed_usage(worker, now);
        }
        if (worker.listing.leaving && worker.synced && !worker.unresponsive)
        {
            collect_departing(worker);
        }
        if (worker.schedulable)
        {
            quarantine_if_failing(worker, now);
            end_unfounded_quarantine(worker, now);
            usable[worker.listing.service].push_back(&worker);
        }
    }
    release_excess_quarantines(usable, now);
    for (const auto& [service, workers] : usable)
    {
        service_round& round = rounds_[service];
        for (worker_record* worker : workers)
        {
            worker->schedulable =
                worker->schedulable && now >= worker->refused_until;
            if (worker->schedulable)
            {
                round.schedulable.push_back(worker);
                round.max_room = component_max(
                    round.max_room, worker->listing.capacity - worker->used);
            }
        }
    }
}

} // namespace coltsfootrack::fleet
