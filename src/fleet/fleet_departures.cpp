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

// How long a place is held: a stop that is repeated once, and a new ticket.
constexpr std::chrono::milliseconds place_hold_time{3000};

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

// Reserves the held places against all steps but those that they are for.
void fleet::reserve_held_places(std::vector<candidate>& waiting,
                                base::time_point now)
{
    for (auto it = held_places_.begin(); it != held_places_.end();)
    {
        const auto& [key, place] = *it;
        const task_record* task = find_task(key);
        const auto target = workers_.find(place.worker);
        const bool moved =
            task == nullptr || (task->worker && *task->worker != place.former);
        if (moved || now >= place.until || target == workers_.end())
        {
            it = held_places_.erase(it);
            continue;
        }
        target->second.reserved_room += place.room;
        const auto step = std::find_if(waiting.begin(), waiting.end(),
                                       [&](const candidate& next)
                                       { return next.key == it->first.step; });
        if (!task->worker && step != waiting.end())
        {
            step->reserved_room.emplace_back(&target->second, place.room);
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
            // What the run frees of the limit may go to another step.
            worker_record* const place = within_limit(next, 1)
                                             ? cheapest_place(next, index, now)
                                             : nullptr;
            if (place == nullptr)
            {
                break;
            }
            move_run(next, index, *place, now);
        }
    }
}

void fleet::move_run(const candidate& next, int index, worker_record& place,
                     base::time_point now)
{
    const jobs::task_key key{next.key, index};
    const base::worker_id& former =
        *next.record->tasks[static_cast<std::size_t>(index)].worker;
    worker_record& source = workers_.at(former);
    active_run& run = source.runs.at(key);
    place.reserved_room += run.room;
    held_places_[key] = {place.listing.worker, former, run.room,
                         now + place_hold_time};
    request_stop(source, run);
    base::log(base::log_level::info, log_part,
              "Standing task moves off a leaving worker. job={} occurrence={} "
              "step={} task={} run={} worker={} to={}",
              key.step.job.text(), key.step.occurrence, key.step.step,
              key.index, run.run, former.text(), place.listing.worker.text());
}

} // namespace coltsfootrack::fleet
