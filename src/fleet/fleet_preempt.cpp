// Preemption.
//
// When long work of a lower priority fills a service or the limit of a team,
// its runs are stopped for urgent steps that can still be on time. Only runs
// that save checkpoints are stopped: the platform takes a checkpoint at each
// stop, so they lose next to nothing. Runs without checkpoints, gang members
// and standing tasks are not preempted.
//
// Load it answers beside that: gangs that cannot be placed, or not as a whole,
// wait beside other work, which must not wait with them.

#include "candidate.hpp"
#include "count_fitting.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <limits>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

// A run with at least this progress ends about as soon as it could be stopped.
constexpr int nearly_done_percent = 85;

// A run is not preempted earlier than this, so that a task makes progress
// between two preemptions: resuming takes 0.6 s on the current platform.
constexpr std::chrono::milliseconds min_run_time{1500};

// Whether a run is running and its queue has a lower priority than the step's.
bool may_be_preempted_for(const active_run& run, const candidate& next)
{
    return run.phase == run_phase::running &&
           run.priority > next.queue->priority;
}

} // namespace

// Collects the runs on the workers of a service that may be preempted by a more
// urgent step.
void fleet::collect_victims(service_round& round, base::time_point now)
{
    if (round.victims_collected)
    {
        return;
    }
    round.victims_collected = true;
    for (worker_record* worker : round.schedulable)
    {
        worker->victim_room = base::resources();
        for (auto run = worker->runs.begin(); run != worker->runs.end(); ++run)
        {
            const active_run& active = run->second;
            if (active.preemptible && !active.orphaned &&
                active.phase == run_phase::running &&
                active.percent < nearly_done_percent &&
                now - active.known_at >= min_run_time)
            {
                worker->victims.push_back(run);
                worker->victim_room += active.room;
            }
        }
    }
}

// Preempts runs for a step that can still be on time, and reserves for it what
// they free on workers and of the limit of its team. Without the reservation,
// less urgent tasks would start as soon as a part of it is free, and be stopped
// again. Nothing is reserved or stopped for tasks that could not start with it:
// those without a place, and a gang of which one task has none.
void fleet::make_room(candidate& next, base::time_point now)
{
    if (next.rank != next.queue->priority || next.spec->uses_leftover)
    {
        return;
    }
    collect_victims(*next.round, now);
    const int pending = static_cast<int>(next.pending.size());
    limit_plan limit = plan_limit(next, pending, now);
    // So that tickets are requested for it: without them it has no eligible
    // workers.
    next.limit_attainable = limit.tasks > 0;
    if (next.spec->gang && !may_make_room(next, pending))
    {
        return;
    }
    room_plan room;
    while (room.tasks < limit.tasks && plan_place(next, room))
    {
        ++room.tasks;
    }
    if (room.tasks == 0 || (next.spec->gang && room.tasks < pending))
    {
        drop_places(next);
        return;
    }
    if (room.tasks < limit.tasks)
    {
        limit = plan_limit(next, room.tasks, now);
    }
    preempt(next, room);
    claim_limit(next, limit);
}

// Whether all tasks of a gang may have room if every run that can be preempted
// is: a quick check, since planning the places of a large gang is costly.
bool fleet::may_make_room(const candidate& next, int tasks) const
{
    const int limit = next.spec->max_per_worker;
    int places = 0;
    for (const worker_record* worker : next.eligible)
    {
        if (places >= tasks)
        {
            break;
        }
        const base::resources free =
            worker->listing.capacity - worker->used + worker->stopping_room -
            worker->reserved_room + worker->victim_room;
        places += count_fitting(free, next.spec->need,
                                limit > 0 ? std::min(limit, tasks) : tasks);
    }
    return places >= tasks;
}

// Reserves room for one task on the worker where the fewest runs have to be
// preempted for it, and adds those to the plan. Returns false if there is none.
bool fleet::plan_place(candidate& next, room_plan& plan)
{
    struct option
    {
        worker_record* worker = nullptr;
        std::vector<worker_record::run_map::iterator> victims;
        std::size_t stopped = std::numeric_limits<std::size_t>::max();
    };
    const base::resources& need = next.spec->need;
    const auto reserved_tasks = [&next](const worker_record& worker)
    {
        const auto own = next.reserved.find(worker.number);
        return own == next.reserved.end() ? 0 : own->second.tasks;
    };
    option best;
    for (worker_record* worker : next.eligible)
    {
        base::resources free = worker->listing.capacity - worker->used +
                               worker->stopping_room - worker->reserved_room -
                               place_held_for_others(*worker, next).room;
        const auto freed = plan.freed.find(worker->number);
        if (freed != plan.freed.end())
        {
            free += freed->second;
        }
        if (!need.fits_in(worker->listing.capacity) ||
            !need.fits_in(free + worker->victim_room) ||
            !below_limit_per_worker(*worker, next, reserved_tasks(*worker)) ||
            (worker->reserved_for != nullptr &&
             worker->reserved_for != next.record))
        {
            continue;
        }
        option tried;
        tried.worker = worker;
        tried.stopped = 0;
        for (const auto run : worker->victims)
        {
            if (need.fits_in(free))
            {
                break;
            }
            if (may_be_preempted_for(run->second, next) &&
                plan.chosen.count(&run->second) == 0)
            {
                free += run->second.room;
                ++tried.stopped;
                tried.victims.push_back(run);
            }
        }
        if (need.fits_in(free) && tried.stopped < best.stopped)
        {
            best = std::move(tried);
        }
    }
    if (best.worker == nullptr)
    {
        return false;
    }
    best.worker->reserved_room += need;
    reserved_place& place = next.reserved[best.worker->number];
    place.room += need;
    ++place.tasks;
    for (const auto victim : best.victims)
    {
        plan.stops.emplace_back(best.worker, victim);
        plan.chosen.insert(&victim->second);
        plan.freed[best.worker->number] += victim->second.room;
    }
    return true;
}

// Gives up the room that a step has reserved on workers.
void fleet::drop_places(candidate& next)
{
    for (const auto& [number, place] : next.reserved)
    {
        workers_by_number_[static_cast<std::size_t>(number)]->reserved_room -=
            place.room;
    }
    next.reserved.clear();
}

void fleet::preempt(const candidate& next, const room_plan& plan)
{
    for (const auto& [worker, victim] : plan.stops)
    {
        const jobs::task_key& key = victim->first;
        active_run& run = victim->second;
        request_stop(*worker, run);
        base::log(base::log_level::info, log_part,
                  "Run preempted. job={} occurrence={} step={} task={} run={} "
                  "worker={} "
                  "percent={} for={}",
                  key.step.job.text(), key.step.occurrence, key.step.step,
                  key.index, run.run, worker->listing.worker.text(),
                  run.percent, next.key.job.text());
    }
}

// Determines how many of `tasks` tasks of a step the limit of its team allows
// if less urgent runs of the team are preempted, and which runs those are. A
// gang is allowed as a whole or not at all.
fleet::limit_plan fleet::plan_limit(const candidate& next, int tasks,
                                    base::time_point now)
{
    const base::team_id& id = next.job->submission.team;
    const team_policy* team = catalogue_->team(id);
    limit_plan plan;
    plan.tasks = tasks;
    if (team == nullptr)
    {
        return plan;
    }
    const auto missing_at = [&](std::int64_t limit, std::int64_t wanted)
    {
        return limit > 0 ? std::max<std::int64_t>(0, wanted - limit) : 0;
    };
    const base::resources used = limited_usage(id) + unknown_usage_ -
                                 stopping_usage_[id] + claimed_limits_[id];
    const auto missing = [&](int count)
    {
        const base::resources wanted = used + next.spec->need * count;
        return base::resources{
            missing_at(team->limit.cpu_milli, wanted.cpu_milli),
            missing_at(team->limit.memory_mb, wanted.memory_mb),
            missing_at(team->limit.accelerators, wanted.accelerators)};
    };
    const base::resources none;
    if (missing(plan.tasks) == none)
    {
        return plan;
    }
    std::vector<stoppable_run> victims;
    for (auto& [service, round] : rounds_)
    {
        collect_victims(round, now);
        for (worker_record* worker : round.schedulable)
        {
            for (const auto run : worker->victims)
            {
                if (run->second.team == id &&
                    may_be_preempted_for(run->second, next))
                {
                    victims.emplace_back(worker, run);
                }
            }
        }
    }
    // Least progress first: these would hold the limit longest.
    std::stable_sort(
        victims.begin(), victims.end(),
        [](const stoppable_run& a, const stoppable_run& b)
        { return a.second->second.percent < b.second->second.percent; });
    base::resources most;
    for (const stoppable_run& run : victims)
    {
        most += run.second->second.need;
    }
    while (plan.tasks > 0 && !missing(plan.tasks).fits_in(most))
    {
        plan.tasks = next.spec->gang ? 0 : plan.tasks - 1;
    }
    base::resources over =
        plan.tasks > 0 ? missing(plan.tasks) : base::resources();
    for (const stoppable_run& run : victims)
    {
        const base::resources& need = run.second->second.need;
        const bool helps = (over.cpu_milli > 0 && need.cpu_milli > 0) ||
                           (over.memory_mb > 0 && need.memory_mb > 0) ||
                           (over.accelerators > 0 && need.accelerators > 0);
        if (helps)
        {
            over = component_max(over - need, none);
            plan.stops.push_back(run);
        }
    }
    return plan;
}

// Claims a part of the limit of its team for a step, and preempts the runs that
// hold it.
void fleet::claim_limit(candidate& next, const limit_plan& plan)
{
    next.claimed = next.spec->need * plan.tasks;
    claimed_limits_[next.job->submission.team] += next.claimed;
    for (const auto& [worker, victim] : plan.stops)
    {
        const jobs::task_key& key = victim->first;
        active_run& run = victim->second;
        if (run.phase == run_phase::stopping)
        {
            // Already preempted for room on its worker.
            continue;
        }
        request_stop(*worker, run);
        base::log(base::log_level::info, log_part,
                  "Run preempted for the limit of its team. job={} "
                  "occurrence={} step={} "
                  "task={} run={} percent={} for={}",
                  key.step.job.text(), key.step.occurrence, key.step.step,
                  key.index, run.run, run.percent, next.key.job.text());
    }
}

} // namespace coltsfootrack::fleet
