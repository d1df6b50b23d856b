// Moves standing tasks off workers that have announced their departure.
//
// A worker that leaves takes its runs with it, and the leader learns of that
// only when the lease has expired: a standing task would have no run for all
// that time. So its run is stopped while the worker still answers, once there
// is another place for it. The place is held until the task runs there.
// Other tasks stay: they may end in time, and a stop would waste their work.
//
// Load it answers: the workers of a service are replaced one after the other.

#include "candidate.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

// How long a place is held after the former run has ended: a new ticket, and a
// start that is refused once.
constexpr std::chrono::milliseconds place_hold_time{3000};

// A ticket has to be valid for this long, so that it outlasts the stop.
constexpr std::chrono::milliseconds stop_allowance{1000};

} // namespace

// The standing tasks that a worker which leaves is running.
void fleet::collect_departing(const worker_record& worker)
{
    for (const auto& [key, run] : worker.runs)
    {
        if (run.standing && !run.orphaned && run.phase == run_phase::running)
        {
            departing_[key.step].push_back(key.index);
        }
    }
}

// Takes the held places, and the parts of limits, from all steps but those that
// they are for, and gives up the places that are no longer needed.
void fleet::apply_held_places(std::vector<candidate>& waiting,
                              base::time_point now)
{
    for (auto it = held_places_.begin(); it != held_places_.end();)
    {
        auto& [key, place] = *it;
        const task_record* task = find_task(key);
        const auto target = workers_.find(place.worker);
        const bool needed = task != nullptr &&
                            !find_job(key.step.job)->has_final_state() &&
                            (!task->worker || *task->worker == place.former) &&
                            target != workers_.end();
        if (needed && !task->worker && !place.until)
        {
            place.until = now + place_hold_time;
        }
        if (!needed || (place.until && now >= *place.until))
        {
            it = held_places_.erase(it);
            continue;
        }
        target->second.held_room += place.room;
        target->second.held_leftover += place.leftover;
        claimed_limits_[place.team] += place.need;
        const auto step =
            std::find_if(waiting.begin(), waiting.end(),
                         [&step_key = key.step](const candidate& next)
                         { return next.key == step_key; });
        if (!task->worker && step != waiting.end())
        {
            step->held_places.push_back(
                {&target->second, place.room, place.leftover});
            step->claimed += place.need;
        }
        ++it;
    }
}

// The tasks of a step that are still being stopped elsewhere, for a place on
// this worker.
int fleet::tasks_moving_to(const worker_record& worker,
                           const jobs::step_key& step) const
{
    int count = 0;
    for (auto held = held_places_.lower_bound({step, 0});
         held != held_places_.end() && held->first.step == step; ++held)
    {
        const auto former = workers_.find(held->second.former);
        const bool stopping = former != workers_.end() &&
                              former->second.runs.count(held->first) != 0;
        count +=
            stopping && held->second.worker == worker.listing.worker ? 1 : 0;
    }
    return count;
}

// Stops departing runs of steps that have another place for them.
void fleet::move_departing(std::vector<candidate>& waiting,
                           base::time_point now)
{
    for (candidate& next : waiting)
    {
        if (next.departing.empty() || !next.pending.empty())
        {
            continue;
        }
        find_eligible_workers(next);
        for (const int index : next.departing)
        {
            // Without room for one more in the limit, other steps of the team
            // may be waiting for what the stop would free.
            worker_record* const place =
                within_limit(next, 1)
                    ? cheapest_place(next, index, now + stop_allowance)
                    : nullptr;
            if (place == nullptr)
            {
                break;
            }
            move_run(next, index, *place);
        }
    }
}

void fleet::move_run(const candidate& next, int index, worker_record& place)
{
    const jobs::task_key key{next.key, index};
    const base::worker_id& former =
        *next.record->tasks[static_cast<std::size_t>(index)].worker;
    worker_record& source = workers_.at(former);
    active_run& run = source.runs.at(key);
    const std::int64_t leftover = run.uses_leftover ? run.need.cpu_milli : 0;
    place.held_room += run.room;
    place.held_leftover += leftover;
    claimed_limits_[run.team] += run.need;
    held_places_[key] = {
        place.listing.worker, former, run.team, run.need, run.room, leftover,
        std::nullopt};
    request_stop(source, run);
    base::log(base::log_level::info, log_part,
              "Standing task moves off a leaving worker. job={} occurrence={} "
              "step={} task={} run={} worker={} to={}",
              key.step.job.text(), key.step.occurrence, key.step.step,
              key.index, run.run, former.text(), place.listing.worker.text());
}

} // namespace coltsfootrack::fleet
