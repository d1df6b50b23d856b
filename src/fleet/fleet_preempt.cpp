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

} // namespace

bool fleet::may_preempt(const candidate& next, const jobs::task_key& key,
                        const active_run& run, base::time_point now) const
{
    if (run.phase != run_phase::running || run.standing || run.stray ||
        run.percent >= nearly_done_percent || now - run.known_at < least_run)
    {
        return false;
    }
    const auto job = jobs_.find(key.step.job);
    if (job == jobs_.end() || job->second.final_state())
    {
        return false;
    }
    const queue_policy* queue = job->second.queue;
    const jobs::step_spec& spec = spec_of(job->second, key.step.step);
    return queue != nullptr && queue->priority > next.queue->priority &&
           spec.checkpoints && !spec.gang;
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
    base::resources coming = base::resources() - claimed_limits_[id];
    std::vector<std::pair<jobs::task_key, active_run*>> victims;
    for (auto& [worker_id, worker] : workers_)
    {
        for (auto& [key, run] : worker.runs)
        {
            if (run.team != id)
            {
                continue;
            }
            if (run.phase == run_phase::stopping)
            {
                coming += run.need;
            }
            else if (may_preempt(next, key, run, now))
            {
                victims.emplace_back(key, &run);
            }
        }
    }
    claimed_limits_[id] += positive(over);
    // The least advanced first: they would hold the limit longest.
    std::stable_sort(victims.begin(), victims.end(),
                     [](const auto& a, const auto& b)
                     { return a.second->percent < b.second->percent; });
    for (auto& [key, run] : victims)
    {
        if (positive(over).fits_in(positive(coming)))
        {
            break;
        }
        const base::resources missing = positive(over - coming);
        const bool helps =
            (missing.cpu_milli > 0 && run->need.cpu_milli > 0) ||
            (missing.memory_mb > 0 && run->need.memory_mb > 0) ||
            (missing.accelerators > 0 && run->need.accelerators > 0);
        if (!helps)
        {
            continue;
        }
        coming += run->need;
        request_stop(*run);
        base::log(base::log_level::info, log_part,
                  "Run preempted for the limit of its team. job={} step={} "
                  "task={} run={} percent={} for={}",
                  key.step.job.text(), key.step.step, key.index, run->run,
                  run->percent, next.key.job.text());
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
        std::vector<std::pair<jobs::task_key, active_run*>> victims;
        std::size_t stopped = std::numeric_limits<std::size_t>::max();
    };
    const base::resources& need = next.spec->need;
    for (std::size_t wanted = next.pending.size(); wanted > 0; --wanted)
    {
        option best;
        for (worker_record* worker : next.round->open)
        {
            const bool allowed = !next.queue->tickets ||
                                 next.record->tickets.contains(worker->number);
            if (!allowed || !usable(*worker, next) ||
                !need.fits_in(worker->listing.capacity))
            {
                continue;
            }
            option tried;
            tried.worker = worker;
            tried.stopped = 0;
            base::resources free =
                worker->listing.capacity - worker->used + worker->promised;
            for (auto& [key, run] : worker->runs)
            {
                if (need.fits_in(free))
                {
                    break;
                }
                if (may_preempt(next, key, run, now))
                {
                    free += run.room;
                    ++tried.stopped;
                    tried.victims.emplace_back(key, &run);
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
        for (auto& [key, run] : best.victims)
        {
            best.worker->promised += run->room;
            request_stop(*run);
            base::log(base::log_level::info, log_part,
                      "Run preempted. job={} step={} task={} run={} worker={} "
                      "percent={} for={}",
                      key.step.job.text(), key.step.step, key.index, run->run,
                      best.worker->listing.worker.text(), run->percent,
                      next.key.job.text());
        }
    }
}

} // namespace coltsfootrack::fleet
