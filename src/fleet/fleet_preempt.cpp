// Room for urgent work.
//
// Answers the burst of an urgent class on a service, or on the limit of a team,
// that is full of long work of a lower priority. A run that saves checkpoints
// loses next to nothing when it is stopped: the platform takes a checkpoint at
// each stop, and the run resumes from it. So such runs of a lower priority are
// stopped for a step that could still be on time. Runs without checkpoints and
// standing tasks are left alone.

#include "candidate.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <limits>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

// A run that has come this far ends about as soon as it could be stopped.
constexpr int nearly_done_percent = 85;

// A run gets this long before it is stopped again, so that work does not only
// stop and resume: resuming takes 0.6 s on today's platform.
constexpr std::chrono::milliseconds least_run{1500};

base::resources positive(const base::resources& value)
{
    return component_max(value, base::resources());
}

// Whether a run may be stopped for a step; it may have been in this round.
bool less_urgent(const active_run& run, const candidate& next)
{
    return run.phase == run_phase::running &&
           run.priority > next.queue->priority;
}

} // namespace

// Collects the runs that may be stopped on the workers of a service. Which of
// them are less urgent than a step is seen there.
void fleet::find_victims(service_round& round, base::time_point now)
{
    if (round.victims_known)
    {
        return;
    }
    round.victims_known = true;
    for (worker_record* worker : round.open)
    {
        worker->victim_room = base::resources();
        for (auto run = worker->runs.begin(); run != worker->runs.end(); ++run)
        {
            const active_run& active = run->second;
            if (active.preemptible && !active.stray &&
                active.phase == run_phase::running &&
                active.percent < nearly_done_percent &&
                now - active.known_at >= least_run)
            {
                worker->victims.push_back(run);
                worker->victim_room += active.room;
            }
        }
    }
}

// Stops runs of the same team for a step that its limit holds up. False if the
// limit is not what the step waits for.
bool fleet::make_limit(const candidate& next, base::time_point now)
{
    const base::team_id& id = next.job->submission.team;
    const team_policy* team = catalogue_->team(id);
    const int count = static_cast<int>(next.pending.size());
    if (team == nullptr || within_limit(next, count))
    {
        return false;
    }
    const base::resources after = usage_of(id) + next.spec->need * count;
    base::resources over;
    over.cpu_milli =
        team->limit.cpu_milli > 0 ? after.cpu_milli - team->limit.cpu_milli : 0;
    over.memory_mb =
        team->limit.memory_mb > 0 ? after.memory_mb - team->limit.memory_mb : 0;
    over.accelerators = team->limit.accelerators > 0
                            ? after.accelerators - team->limit.accelerators
                            : 0;
    base::resources coming = stopping_[id] - claimed_limits_[id];
    std::vector<std::pair<worker_record*, worker_record::run_map::iterator>>
        victims;
    for (auto& [service, round] : rounds_)
    {
        find_victims(round, now);
        for (worker_record* worker : round.open)
        {
            for (const auto run : worker->victims)
            {
                if (run->second.team == id && less_urgent(run->second, next))
                {
                    victims.emplace_back(worker, run);
                }
            }
        }
    }
    claimed_limits_[id] += positive(over);
    // The least advanced first: they would hold the limit longest.
    std::stable_sort(
        victims.begin(), victims.end(),
        [](const auto& a, const auto& b)
        { return a.second->second.percent < b.second->second.percent; });
    for (const auto& [worker, victim] : victims)
    {
        const jobs::task_key& key = victim->first;
        active_run& run = victim->second;
        if (positive(over).fits_in(positive(coming)))
        {
            break;
        }
        const base::resources missing = positive(over - coming);
        const bool helps =
            (missing.cpu_milli > 0 && run.need.cpu_milli > 0) ||
            (missing.memory_mb > 0 && run.need.memory_mb > 0) ||
            (missing.accelerators > 0 && run.need.accelerators > 0);
        if (!helps)
        {
            continue;
        }
        coming += run.need;
        request_stop(*worker, run);
        base::log(base::log_level::info, log_part,
                  "Run preempted for the limit of its team. job={} step={} "
                  "task={} run={} percent={} for={}",
                  key.step.job.text(), key.step.step, key.index, run.run,
                  run.percent, next.key.job.text());
    }
    return true;
}

void fleet::make_room(const candidate& next, base::time_point now)
{
    if (next.rank != next.queue->priority || next.spec->uses_leftover ||
        make_limit(next, now))
    {
        return;
    }
    struct option
    {
        worker_record* worker = nullptr;
        std::vector<worker_record::run_map::iterator> victims;
        std::size_t stopped = std::numeric_limits<std::size_t>::max();
    };
    find_victims(*next.round, now);
    const base::resources& need = next.spec->need;
    for (std::size_t wanted = next.pending.size(); wanted > 0; --wanted)
    {
        option best;
        for (worker_record* worker : next.allowed)
        {
            if (!need.fits_in(worker->listing.capacity))
            {
                continue;
            }
            base::resources free =
                worker->listing.capacity - worker->used + worker->promised;
            if (!need.fits_in(free + worker->victim_room))
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
                if (less_urgent(run->second, next))
                {
                    free += run->second.room;
                    ++tried.stopped;
                    tried.victims.push_back(run);
                }
            }
            if (need.fits_in(free) && tried.stopped < best.stopped)
            {
                best = tried;
            }
        }
        if (best.worker == nullptr)
        {
            return;
        }
        best.worker->promised -= need;
        for (const auto victim : best.victims)
        {
            const jobs::task_key& key = victim->first;
            active_run& run = victim->second;
            best.worker->promised += run.room;
            request_stop(*best.worker, run);
            base::log(base::log_level::info, log_part,
                      "Run preempted. job={} step={} task={} run={} worker={} "
                      "percent={} for={}",
                      key.step.job.text(), key.step.step, key.index, run.run,
                      best.worker->listing.worker.text(), run.percent,
                      next.key.job.text());
        }
    }
}

} // namespace coltsfootrack::fleet
