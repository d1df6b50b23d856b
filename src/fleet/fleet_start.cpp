// Places and starts tasks.
//
// Steps are served in the order of operator< of candidate. Each is placed by
// best fit, that is, on the workers with the least capacity left over, so that
// whole workers stay free for large tasks and gangs. A step without room
// reserves a worker, or a gang several, against the steps behind it, so that a
// stream of small tasks does not starve it.

#include "candidate.hpp"
#include "count_fitting.hpp"
#include "placement_cost.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace coltsfootrack::fleet
{
void fleet::start_tasks(std::vector<candidate>& waiting, base::time_point now,
                        std::vector<order>& orders)
{
    claimed_limits_.clear();
    apply_held_places(waiting, now);
    for (candidate& next : waiting)
    {
        if (next.pending.empty())
        {
            continue;
        }
        const bool room = any_room(next);
        next.considered = room || next.round->steps_without_room <
                                      options_.max_considered_steps;
        if (next.considered)
        {
            find_eligible_workers(next);
        }
        const bool all =
            room && (next.spec->gang ? start_gang(next, now, orders)
                                     : start_single(next, now, orders));
        if (all)
        {
            continue;
        }
        ++next.round->steps_without_room;
        if (next.considered)
        {
            make_room(next, now);
            reserve_workers(next);
        }
    }
    move_departing(waiting, now);
}

// The worker where a task is best placed; null if none has room.
worker_record* fleet::cheapest_place(const candidate& next, int index,
                                     base::time_point now) const
{
    const task_record& task =
        next.record->tasks[static_cast<std::size_t>(index)];
    worker_record* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (worker_record* worker : next.eligible)
    {
        if (!has_room(*worker, next) || !has_ticket(*worker, next, now))
        {
            continue;
        }
        double cost = cost_of(*worker, next);
        cost +=
            task.avoided_worker == worker->listing.worker ? avoided_cost : 0;
        if (cost < best_cost)
        {
            best = worker;
            best_cost = cost;
        }
    }
    return best;
}

bool fleet::start_single(candidate& next, base::time_point now,
                         std::vector<order>& orders)
{
    std::vector<int> left;
    for (const int index : next.pending)
    {
        const task_record& task =
            next.record->tasks[static_cast<std::size_t>(index)];
        worker_record* const best = left.empty() && within_limit(next, 1)
                                        ? cheapest_place(next, index, now)
                                        : nullptr;
        if (best == nullptr)
        {
            left.push_back(index);
            continue;
        }
        const std::uint64_t base =
            (options_.epoch - 1) * options_.runs_per_epoch;
        order_start(next, index, *best, std::max(task.last_run, base) + 1, now,
                    orders);
    }
    next.pending = std::move(left);
    return next.pending.empty();
}

// At least as many as the tasks of a step that have room on these workers, up
// to `most`.
int fleet::count_places(const candidate& next,
                        const std::vector<worker_record*>& workers,
                        int most) const
{
    const int limit = next.spec->max_per_worker;
    int places = 0;
    for (const worker_record* worker : workers)
    {
        if (places >= most)
        {
            break;
        }
        places += has_room(*worker, next)
                      ? count_fitting(worker->listing.capacity - worker->used,
                                      next.spec->need,
                                      limit > 0 ? std::min(limit, most) : most)
                      : 0;
    }
    return std::min(places, most);
}

bool fleet::start_gang(candidate& next, base::time_point now,
                       std::vector<order>& orders)
{
    const int count = static_cast<int>(next.pending.size());
    if (!within_limit(next, count))
    {
        return false;
    }
    std::vector<worker_record*> open;
    std::set<std::string> racks;
    for (worker_record* worker : next.eligible)
    {
        if (has_ticket(*worker, next, now))
        {
            open.push_back(worker);
            racks.insert(worker->listing.labels.empty()
                             ? std::string()
                             : worker->listing.labels.back());
        }
    }
    // Placing a task looks at every worker, which is costly for a large gang
    // that waits for long.
    if (count_places(next, open, count) < count)
    {
        return false;
    }
    // Places the gang on the workers of one rack, or of all racks if the name
    // is empty.
    const auto place = [&](const std::string& rack)
    {
        std::vector<worker_record*> places;
        std::map<worker_record*, base::resources> taken;
        std::map<worker_record*, int> members;
        for (int i = 0; i < count; ++i)
        {
            worker_record* best = nullptr;
            double best_cost = std::numeric_limits<double>::max();
            for (worker_record* worker : open)
            {
                const auto& labels = worker->listing.labels;
                const bool elsewhere =
                    !rack.empty() && (labels.empty() || labels.back() != rack);
                const int limit = next.spec->max_per_worker;
                if (elsewhere || (limit > 0 && members[worker] >= limit) ||
                    !has_room(*worker, next) ||
                    !(worker->used + taken[worker] + next.spec->need)
                         .fits_in(worker->listing.capacity))
                {
                    continue;
                }
                const base::resources& own = taken[worker];
                const double cost = cost_of(*worker, next) -
                                    static_cast<double>(own.cpu_milli) -
                                    idle_accelerator_cost *
                                        static_cast<double>(own.accelerators);
                if (cost < best_cost)
                {
                    best = worker;
                    best_cost = cost;
                }
            }
            if (best == nullptr)
            {
                return std::vector<worker_record*>();
            }
            taken[best] += next.spec->need;
            ++members[best];
            places.push_back(best);
        }
        return places;
    };
    std::vector<worker_record*> places;
    if (next.spec->same_rack)
    {
        for (const std::string& rack : racks)
        {
            places = place(rack);
            if (!places.empty())
            {
                break;
            }
        }
    }
    if (places.empty())
    {
        places = place("");
    }
    if (places.empty())
    {
        return false;
    }
    std::uint64_t run = (options_.epoch - 1) * options_.runs_per_epoch;
    std::string checkpoint;
    for (const task_record& task : next.record->tasks)
    {
        run = std::max(run, task.last_run);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    for (task_record& task : next.record->tasks)
    {
        task.checkpoint = checkpoint;
    }
    for (int i = 0; i < count; ++i)
    {
        order_start(next, next.pending[static_cast<std::size_t>(i)],
                    *places[static_cast<std::size_t>(i)], run + 1, now, orders);
    }
    next.pending.clear();
    return true;
}

void fleet::order_start(const candidate& next, int index, worker_record& worker,
                        std::uint64_t run, base::time_point now,
                        std::vector<order>& orders)
{
    const jobs::task_key key{next.key, index};
    task_record& task = next.record->tasks[static_cast<std::size_t>(index)];
    active_run& added = add_run(worker, key, run, run_phase::starting, now);
    added.start_pending = true;
    attach(worker, key, added, task);
    start_order start;
    start.worker = worker.listing.worker;
    start.task = key;
    start.run = run;
    start.payload = next.job->submission.spec.payload;
    start.checkpoint = next.spec->checkpoints ? task.checkpoint : "";
    const auto held = next.record->tickets.find(worker.number);
    if (next.queue->tickets && held != next.record->tickets.end())
    {
        start.ticket = held->second.text;
    }
    orders.push_back(std::move(start));
}

} // namespace coltsfootrack::fleet
