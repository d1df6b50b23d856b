// Where a task may run, and the cost of placing it there.

#include "candidate.hpp"
#include "count_fitting.hpp"
#include "placement_cost.hpp"

#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

namespace coltsfootrack::fleet
{
void fleet::find_eligible_workers(candidate& next) const
{
    if (!next.queue->tickets)
    {
        std::copy_if(next.round->schedulable.begin(),
                     next.round->schedulable.end(),
                     std::back_inserter(next.eligible),
                     [&](const worker_record* worker)
                     { return matches_label(*worker, next); });
        return;
    }
    for (const auto& [number, ticket] : next.record->tickets)
    {
        worker_record* worker =
            workers_by_number_[static_cast<std::size_t>(number)];
        if (worker != nullptr && worker->schedulable &&
            worker->life == ticket.life && matches_label(*worker, next))
        {
            next.eligible.push_back(worker);
        }
    }
}

// Whether any worker may have room, judged by the most free capacity at the
// start of the round, which only shrinks during it.
bool fleet::may_have_room(const candidate& next) const
{
    return next.spec->uses_leftover ||
           next.spec->need.fits_in(next.round->max_room);
}

bool fleet::any_room(const candidate& next) const
{
    return may_have_room(next) &&
           std::any_of(next.round->schedulable.begin(),
                       next.round->schedulable.end(),
                       [&](const worker_record* worker)
                       { return has_room(*worker, next); });
}

bool fleet::matches_label(const worker_record& worker,
                          const candidate& next) const
{
    const std::string& label = next.spec->required_label;
    const auto& labels = worker.listing.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

// The room on a worker that is reserved for earlier steps, beyond what the runs
// being stopped there will free.
base::resources fleet::room_reserved_by_others(const worker_record& worker,
                                               const candidate& next) const
{
    if (worker.reserved_room == base::resources())
    {
        return {};
    }
    base::resources others = worker.reserved_room - worker.stopping_room;
    const auto own = next.reserved.find(worker.number);
    if (own != next.reserved.end())
    {
        others -= own->second.room;
    }
    return component_max(others, base::resources());
}

// What is held on a worker for standing tasks of other steps, and for those of
// this step that still run elsewhere.
place_on_worker fleet::place_held_for_others(const worker_record& worker,
                                             const candidate& next)
{
    place_on_worker held{&worker, worker.held_room, worker.held_leftover};
    for (const place_on_worker& own : next.held_places)
    {
        if (own.worker == &worker)
        {
            held.room -= own.room;
            held.leftover -= own.leftover;
        }
    }
    return held;
}

bool fleet::has_room(const worker_record& worker, const candidate& next) const
{
    const jobs::step_spec& spec = *next.spec;
    base::resources room = spec.need;
    const base::resources& capacity = worker.listing.capacity;
    const place_on_worker held = place_held_for_others(worker, next);
    if (spec.uses_leftover)
    {
        room.cpu_milli = 0;
        // Half of the requested CPU must be free, or it would make hardly any
        // progress.
        if (capacity.cpu_milli - worker.used.cpu_milli - worker.leftover_used -
                held.leftover <
            spec.need.cpu_milli / 2)
        {
            return false;
        }
    }
    if (!(worker.used + room_reserved_by_others(worker, next) + held.room +
          room)
             .fits_in(capacity))
    {
        return false;
    }
    if (worker.reserved_for != nullptr && worker.reserved_for != next.record)
    {
        return false;
    }
    return below_limit_per_worker(worker, next, 0);
}

// The tasks of a step that run on a worker or move there.
int fleet::tasks_on(const worker_record& worker,
                    const jobs::step_key& step) const
{
    const auto first = worker.runs.lower_bound({step, 0});
    const auto last =
        worker.runs.upper_bound({step, std::numeric_limits<int>::max()});
    return static_cast<int>(std::distance(first, last)) +
           tasks_moving_to(worker, step);
}

// Whether a step may have one more task on a worker, besides those that run or
// move there, and `planned` others.
bool fleet::below_limit_per_worker(const worker_record& worker,
                                   const candidate& next, int planned) const
{
    const int limit = next.spec->max_per_worker;
    return limit <= 0 || tasks_on(worker, next.key) + planned < limit;
}

bool fleet::has_ticket(const worker_record& worker, const candidate& next,
                       base::time_point now) const
{
    if (!next.queue->tickets)
    {
        return true;
    }
    const auto held = next.record->tickets.find(worker.number);
    return held != next.record->tickets.end() &&
           held->second.life == worker.life &&
           held->second.valid_until - options_.ticket_margin > now;
}

base::resources fleet::limit_claimed_by_others(const candidate& next) const
{
    const base::team_id& team = next.job->submission.team;
    const auto claimed = claimed_limits_.find(team);
    if (claimed == claimed_limits_.end())
    {
        return {};
    }
    const auto stopping = stopping_usage_.find(team);
    const base::resources coming = stopping == stopping_usage_.end()
                                       ? base::resources()
                                       : stopping->second;
    return component_max(claimed->second - next.claimed - coming,
                         base::resources());
}

// What counts against the limit of a team: all but runs that have ended with
// their lease. Their task must not start again before it is known whether they
// ended as done, but the limit needs only that they have ended.
base::resources fleet::limited_usage(const base::team_id& team) const
{
    const auto lapsed = lapsed_usage_.find(team);
    return lapsed == lapsed_usage_.end() ? usage_of(team)
                                         : usage_of(team) - lapsed->second;
}

bool fleet::within_limit(const candidate& next, int count) const
{
    const base::team_id& id = next.job->submission.team;
    const team_policy* team = catalogue_->team(id);
    if (team == nullptr)
    {
        return true;
    }
    const base::resources after = limited_usage(id) + unknown_usage_ +
                                  limit_claimed_by_others(next) +
                                  next.spec->need * count;
    const auto fits = [](std::int64_t used, std::int64_t limit)
    {
        return limit == 0 || used <= limit;
    };
    return fits(after.cpu_milli, team->limit.cpu_milli) &&
           fits(after.memory_mb, team->limit.memory_mb) &&
           fits(after.accelerators, team->limit.accelerators);
}

double fleet::cost_of(const worker_record& worker, const candidate& next) const
{
    const base::resources left =
        worker.listing.capacity - worker.used - next.spec->need;
    double cost = static_cast<double>(left.cpu_milli);
    if (next.spec->need.accelerators > 0)
    {
        cost += idle_accelerator_cost * static_cast<double>(left.accelerators);
    }
    if (next.spec->uses_leftover)
    {
        // Prefer the most free CPU, where it disturbs others least.
        cost = -static_cast<double>(left.cpu_milli - worker.leftover_used);
    }
    const std::string& rack = next.spec->data_rack;
    const auto& labels = worker.listing.labels;
    if (!rack.empty() &&
        std::find(labels.begin(), labels.end(), rack) == labels.end())
    {
        cost += remote_data_cost;
    }
    return cost;
}

// Collects what is used on each worker of a service by runs that do not end
// soon: standing ones, and those whose estimate says so.
void fleet::collect_lasting_usage(service_round& round) const
{
    if (std::exchange(round.lasting_collected, true))
    {
        return;
    }
    for (worker_record* worker : round.schedulable)
    {
        worker->lasting_room = base::resources();
        worker->lasting_leftover = 0;
        for (const auto& [key, run] : worker->runs)
        {
            if (!lasts(run))
            {
                continue;
            }
            worker->lasting_room += run.room;
            worker->lasting_leftover +=
                run.uses_leftover ? run.need.cpu_milli : 0;
        }
    }
}

// Whether a run keeps its room for longer than a reservation may wait for it.
bool fleet::lasts(const active_run& run) const
{
    if (run.phase == run_phase::stopping)
    {
        return false;
    }
    constexpr int percents = 100;
    return run.standing || run.estimate * (percents - run.percent) / percents >
                               options_.reservation_wait;
}

// How many tasks of a step have room on a worker once all runs that end soon
// have ended, at most `most`.
int fleet::places_soon(const worker_record& worker, const candidate& next,
                       int most) const
{
    const place_on_worker held = place_held_for_others(worker, next);
    base::resources free =
        worker.listing.capacity - worker.lasting_room - held.room;
    base::resources need = next.spec->need;
    if (next.spec->uses_leftover)
    {
        free.cpu_milli -= worker.lasting_leftover + held.leftover;
        need.cpu_milli /= 2;
    }
    const int limit = next.spec->max_per_worker;
    const int allowed =
        limit <= 0 ? most
                   : std::clamp(limit - tasks_on(worker, next.key), 0, most);
    return count_fitting(free, need, allowed);
}

// Reserves the workers with the most free capacity for this step, so that later
// steps do not use them: one, or for a gang as many as it needs. Nothing is
// reserved that would be kept from the others for nothing, since the step, or a
// task of the gang, has no place soon.
void fleet::reserve_workers(const candidate& next)
{
    service_round& round = *next.round;
    const int wanted =
        next.spec->gang ? static_cast<int>(next.pending.size()) : 1;
    const auto most_workers =
        static_cast<std::size_t>(options_.max_reserved_fraction *
                                 static_cast<double>(round.schedulable.size()));
    if (round.reserved_workers >= most_workers || !within_limit(next, wanted))
    {
        return;
    }
    collect_lasting_usage(round);
    struct option
    {
        worker_record* worker;
        int places;
    };
    std::vector<option> options;
    int all_places = 0;
    for (worker_record* worker : next.eligible)
    {
        const int places = places_soon(*worker, next, wanted);
        all_places += places;
        if (places > 0 && worker->reserved_for == nullptr &&
            place_held_for_others(*worker, next).room == base::resources())
        {
            options.push_back({worker, places});
        }
    }
    if (all_places < wanted)
    {
        return;
    }
    std::stable_sort(options.begin(), options.end(),
                     [](const option& a, const option& b)
                     {
                         const auto used_up = [](const option& o)
                         {
                             const base::resources free =
                                 o.worker->listing.capacity - o.worker->used;
                             return std::make_tuple(-free.accelerators,
                                                    -free.cpu_milli);
                         };
                         return used_up(a) < used_up(b);
                     });
    int covered = 0;
    for (const option& best : options)
    {
        if (covered >= wanted || round.reserved_workers >= most_workers)
        {
            return;
        }
        covered += best.places;
        ++round.reserved_workers;
        best.worker->reserved_for = next.record;
    }
}

} // namespace coltsfootrack::fleet
