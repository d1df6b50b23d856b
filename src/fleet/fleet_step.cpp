// One round of decisions: what has to be settled, stopped, paced and stored.
// Starts are in fleet_start.cpp, tickets in fleet_tickets.cpp.

#include "candidate.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

// A stop that was carried out is repeated if the run is still listed after
// this time: the platform ends a run within a fraction of it.
constexpr std::chrono::milliseconds stop_patience{2000};

// Runs are looked through for stalled ones this often: every run of the cell
// is visited, and a stall counts after seconds.
constexpr std::chrono::milliseconds stall_check_period{100};

// The pace of tasks on leftover capacity is changed at most this often: the
// load that workers report is a mean over half a second.
constexpr std::chrono::milliseconds pace_period{400};

// Tails above the first part of their target halve the pace, tails below the
// second raise it by pace_step percent.
constexpr double pace_down_above = 0.75;
constexpr double pace_up_below = 0.55;
constexpr int pace_step = 15;

} // namespace

fleet::fleet(const fleet_options& options, base::time_point now)
    : options_(options)
    , since_(now)
{
}

std::vector<order> fleet::step(base::time_point now, wall_time wall,
                               ticket_slots slots)
{
    std::vector<order> orders;
    settle_workers(now);
    settle_jobs(now, wall);
    stop_stalled(now);
    if (catalogue_)
    {
        std::vector<candidate> waiting = candidates(now);
        start_tasks(waiting, now, orders);
        order_tickets(waiting, now, slots, orders);
    }
    // After the starts, which may stop runs to make room.
    order_stops(now, orders);
    order_pacing(now, orders);
    order_saves(orders);
    return orders;
}

// Nothing that was started there can run any more, and no end that it may have
// listed waits to be read here. That its lease has passed is not enough: a
// worker that answers a daemon that is short of processor has not failed.
bool fleet::is_lost(const worker_record& worker) const
{
    return worker.replaced ||
           worker.unanswered_after_lease >= options_.lost_after_renewals;
}

void fleet::settle_workers(base::time_point now)
{
    for (auto it = workers_.begin(); it != workers_.end();)
    {
        worker_record& worker = it->second;
        const bool lost = is_lost(worker);
        if (lost && !worker.runs.empty())
        {
            base::log(
                base::log_level::warning, log_part,
                "Lease of a lost worker passed. worker={} runs={} "
                "clock_ms={} lease_end_ms={}",
                it->first.text(), worker.runs.size(),
                worker.report_clock.count(),
                worker.lease.granted().value_or(worker.report_clock).count());
            lose_all(worker);
        }
        if (lost && !worker.listed)
        {
            numbered_[static_cast<std::size_t>(worker.number)] = nullptr;
            it = workers_.erase(it);
            continue;
        }
        if (worker.unmeasured > 0 || worker.stopping > 0)
        {
            settle_stops(worker, now);
        }
        ++it;
    }
}

// Stops runs of jobs that stay unknown, and repeats stops without effect.
void fleet::settle_stops(worker_record& worker, base::time_point now)
{
    for (auto& [key, run] : worker.runs)
    {
        if (run.unmeasured && now - run.ordered_at > options_.unknown_job_wait)
        {
            request_stop(worker, run);
        }
        if (run.phase != run_phase::stopping || run.stop_pending)
        {
            continue;
        }
        const auto patience =
            run.stop_done ? stop_patience : options_.stop_retry;
        run.stop_pending = now - run.stop_at > patience;
        worker.stop_wanted = worker.stop_wanted || run.stop_pending;
    }
}

void fleet::settle_jobs(base::time_point now, wall_time wall)
{
    for (auto it = open_jobs_.begin(); it != open_jobs_.end();)
    {
        job_record& job = *it->second;
        // A job that is completed here leaves the map.
        ++it;
        if (job.submission.spec.has_schedule())
        {
            open_occurrences(job, wall);
        }
        for (std::size_t k = 0; k < job.occurrences.size(); ++k)
        {
            auto& steps = job.occurrences[k];
            for (std::size_t s = 0; s < steps.size(); ++s)
            {
                if (spec_of(job, static_cast<int>(s)).gang &&
                    steps[s].active > 0)
                {
                    stop_broken_gang(
                        {job.id, static_cast<int>(k), static_cast<int>(s)},
                        steps[s]);
                }
            }
        }
        check_completed(job, now);
    }
}

// Stops the rest of a gang that has lost a member, so that it can start again
// together. Members that are alone would wait for the others.
void fleet::stop_broken_gang(const jobs::step_key& key, const step_record& step)
{
    const int wanted = static_cast<int>(step.tasks.size());
    if (step.active == wanted || step.done == wanted)
    {
        return;
    }
    for (std::size_t i = 0; i < step.tasks.size(); ++i)
    {
        if (!step.tasks[i].worker)
        {
            continue;
        }
        const auto worker = workers_.find(*step.tasks[i].worker);
        if (worker == workers_.end())
        {
            continue;
        }
        const auto run = worker->second.runs.find({key, static_cast<int>(i)});
        if (run != worker->second.runs.end())
        {
            request_stop(worker->second, run->second);
        }
    }
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
                run.uses_leftover || run.stray ||
                now - run.progress_at < options_.stall_time)
            {
                continue;
            }
            base::log(base::log_level::warning, log_part,
                      "Run stands still and is stopped. job={} occurrence={} "
                      "step={} task={} "
                      "run={} worker={} percent={}",
                      key.step.job.text(), key.step.occurrence, key.step.step,
                      key.index, run.run, id.text(), run.percent);
            request_stop(worker, run);
            task_record* task = find_task(key);
            if (task != nullptr)
            {
                task->avoid = id;
            }
            worker.avoided_until =
                std::max(worker.avoided_until, now + options_.quarantine);
        }
    }
}

void fleet::order_stops(base::time_point now, std::vector<order>& orders)
{
    for (auto& [id, worker] : workers_)
    {
        if (!worker.stop_wanted)
        {
            continue;
        }
        worker.stop_wanted = false;
        for (auto& [key, run] : worker.runs)
        {
            if (run.phase == run_phase::stopping && run.stop_pending)
            {
                run.stop_pending = false;
                run.stop_at = now;
                orders.push_back(stop_order{id, key, run.run});
            }
        }
    }
}

void fleet::order_pacing(base::time_point now, std::vector<order>& orders)
{
    for (auto& [id, worker] : workers_)
    {
        if (worker.leftover_used == 0 || now - worker.paced_at < pace_period)
        {
            continue;
        }
        double worst = 0;
        for (const auto& [key, run] : worker.runs)
        {
            if (run.latency_target_ms > 0)
            {
                worst = std::max(worst, run.load / run.latency_target_ms);
            }
        }
        if (worst >= pace_up_below && worst <= pace_down_above)
        {
            continue;
        }
        for (auto& [key, run] : worker.runs)
        {
            if (!run.uses_leftover || run.phase != run_phase::running)
            {
                continue;
            }
            int pace = std::min(100, run.pace + pace_step);
            if (worst > pace_down_above)
            {
                pace = worst > 1 ? 0 : run.pace / 2;
            }
            if (pace != run.pace)
            {
                run.pace = pace;
                worker.paced_at = now;
                orders.push_back(pace_order{id, key, run.run, pace});
            }
        }
    }
}

} // namespace coltsfootrack::fleet
