// One scheduling round: state updates, and orders to stop, throttle and store.
// Starts are in fleet_start.cpp, tickets in fleet_tickets.cpp.

#include "candidate.hpp"

#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

// A confirmed stop is retried if the run is still listed after this time, which
// is a multiple of the time that the platform takes to end a run.
constexpr std::chrono::milliseconds stop_effect_timeout{2000};

// The throttling of tasks on leftover capacity changes at most this often,
// since workers report the mean load over half a second.
constexpr std::chrono::milliseconds pace_period{400};

// A tail latency above the first fraction of its target halves the pace, one
// below the second raises it by pace_step percent.
constexpr double pace_down_above = 0.75;
constexpr double pace_up_below = 0.55;
constexpr int pace_step = 15;

} // namespace

fleet::fleet(const fleet_options& options, base::time_point now)
    : options_(options)
    , leader_since_(now)
{
}

std::vector<order> fleet::run_round(base::time_point now, wall_time wall,
                                    ticket_request_allowance allowance)
{
    std::vector<order> orders;
    update_workers(now);
    update_jobs(now, wall);
    stop_stalled(now);
    if (catalogue_)
    {
        std::vector<candidate> waiting = candidates(now);
        start_tasks(waiting, now, orders);
        order_tickets(waiting, now, allowance, orders);
        check_standing_tasks(waiting, now);
    }
    // After the starts, which may preempt runs.
    order_stops(now, orders);
    order_pacing(now, orders);
    order_saves(orders);
    return orders;
}

// Whether the lease of the known life of a worker has expired. One that has
// announced its departure ends, and does not restart under its id.
bool fleet::lease_expired(const worker_record& worker,
                          base::time_point time) const
{
    return worker.lease.expired(time, leader_since_, !worker.listing.leaving);
}

bool fleet::lease_expired(const base::worker_id& worker,
                          base::time_point now) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() && lease_expired(found->second, now);
}

// Whether nothing can be running on a worker any more and no run end from it
// waits to be read here. An expired lease is not enough: the worker may be
// answering while this daemon is starved of CPU or its link is full.
bool fleet::is_lost(const worker_record& worker) const
{
    if (worker.replaced)
    {
        return true;
    }
    const unanswered_renewals& silence = worker.unanswered_after_lease;
    return silence.count >= options_.max_unanswered_renewals &&
           (silence.confirmed >= options_.max_unanswered_renewals ||
            lease_expired(worker, worker.last_unanswered_at -
                                      unconfirmed_loss_delay(worker)));
}

// The same for lives of the worker that have not answered this leader yet.
bool fleet::is_lost_in_any_life(const worker_record& worker) const
{
    if (worker.replaced)
    {
        return true;
    }
    const unanswered_renewals& silence = worker.unanswered_after_later_lease;
    return is_lost(worker) &&
           silence.count >= options_.max_unanswered_renewals &&
           (silence.confirmed >= options_.max_unanswered_renewals ||
            worker.lease.expired_in_later_life(worker.last_unanswered_at -
                                               unconfirmed_loss_delay(worker)));
}

base::duration fleet::unconfirmed_loss_delay(const worker_record& worker) const
{
    return worker.listed ? options_.listed_loss_delay
                         : options_.unconfirmed_loss_delay;
}

void fleet::update_workers(base::time_point now)
{
    for (auto it = workers_.begin(); it != workers_.end();)
    {
        worker_record& worker = it->second;
        const bool lost = is_lost(worker);
        if (worker.unresponsive && !worker.runs.empty())
        {
            drop_expired_standing_runs(worker, now);
        }
        if (lost && !worker.runs.empty())
        {
            drop_lost_runs(worker, is_lost_in_any_life(worker));
        }
        if (lost && !worker.listed && worker.runs.empty())
        {
            workers_by_number_[static_cast<std::size_t>(worker.number)] =
                nullptr;
            it = workers_.erase(it);
            continue;
        }
        if (worker.unknown_size_runs > 0 || worker.stopping > 0)
        {
            retry_stops(worker, now);
        }
        ++it;
    }
}

// Stops runs of jobs that remain unknown, and retries stops without effect.
void fleet::retry_stops(worker_record& worker, base::time_point now)
{
    for (auto& [key, run] : worker.runs)
    {
        if (run.size_unknown &&
            now - run.ordered_at > options_.unknown_job_timeout)
        {
            request_stop(worker, run);
        }
        if (run.phase != run_phase::stopping || run.stop_pending)
        {
            continue;
        }
        const auto interval =
            run.stop_done ? stop_effect_timeout : options_.stop_retry_interval;
        run.stop_pending = now - run.stop_at > interval;
        worker.has_pending_stops = worker.has_pending_stops || run.stop_pending;
    }
}

void fleet::update_jobs(base::time_point now, wall_time wall)
{
    for (auto it = open_jobs_.begin(); it != open_jobs_.end();)
    {
        job_record& job = *it->second;
        // Completing the job erases it from the map.
        ++it;
        if (job.submission.spec.has_schedule())
        {
            create_due_occurrences(job, wall);
        }
        for (const auto& [k, steps] : job.occurrences)
        {
            for (std::size_t s = 0; s < steps.size(); ++s)
            {
                if (spec_of(job, static_cast<int>(s)).gang &&
                    steps[s].active > 0)
                {
                    stop_broken_gang({job.id, k, static_cast<int>(s)},
                                     steps[s]);
                }
            }
        }
        check_completed(job, now);
    }
}

// Stops the rest of a gang that has lost a member, so that it can restart as a
// whole. The remaining members would wait for the lost one.
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

void fleet::order_stops(base::time_point now, std::vector<order>& orders)
{
    for (auto& [id, worker] : workers_)
    {
        if (!worker.has_pending_stops)
        {
            continue;
        }
        worker.has_pending_stops = false;
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
