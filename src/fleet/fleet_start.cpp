// Which task starts where.
//
// Steps wait in the order of candidate. Each takes the workers that leave the
// least room unused (best fit), so that large tasks and gangs find whole
// workers. A step that finds no room keeps one worker free from those behind
// it, so that a stream of small tasks does not starve it.

#include "candidate.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

// Ranks of steps: the priority of the queue, and these on top. A late job is
// worth a fifth of one on time, so it goes behind the next two priorities; work
// beyond the share of its team and work of no use any more goes last.
constexpr int late_rank = 2;
constexpr int over_share_rank = 10;
constexpr int useless_rank = 100;

// Weights of the cost of a placement, above any number of thousandths of a
// core left free.
constexpr double accelerator_cost = 1e6;
constexpr double far_cost = 1e8;
constexpr double avoided_cost = 1e9;

int rank_of(const job_record& job, const queue_policy& queue, bool standing,
            base::time_point now)
{
    int rank = queue.priority;
    if (!standing && now > job.late_end)
    {
        rank += useless_rank;
    }
    else if (!standing && now > job.due)
    {
        rank += late_rank;
    }
    return job.over_share ? rank + over_share_rank : rank;
}

} // namespace

bool fleet::step_ready(const job_record& job, std::size_t occurrence,
                       const jobs::step_spec& spec) const
{
    const auto& steps = job.occurrences[occurrence];
    return std::all_of(
        spec.after.begin(), spec.after.end(),
        [&](int earlier)
        {
            const step_record& step = steps[static_cast<std::size_t>(earlier)];
            return step.done == static_cast<int>(step.tasks.size());
        });
}

// Whether the steps before it run already and should end while tickets for
// this one are being decided.
bool fleet::step_soon(const job_record& job, std::size_t occurrence,
                      const jobs::step_spec& spec, const queue_policy& queue,
                      base::time_point now) const
{
    if (!queue.tickets)
    {
        return false;
    }
    // What the request takes besides the decision.
    constexpr std::chrono::milliseconds lead{250};
    const auto ahead =
        std::chrono::duration_cast<base::duration>(queue.tickets->decide_time) +
        lead;
    const auto& steps = job.occurrences[occurrence];
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
    find_open_workers(now);
    std::vector<candidate> found;
    for (auto& [id, job] : jobs_)
    {
        if (job.final_state() || job.queue == nullptr)
        {
            continue;
        }
        service_round& round = rounds_[job.queue->service];
        if (!job.inherited || !round.unsettled)
        {
            add_candidates(job, round, now, found);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

void fleet::add_candidates(job_record& job, service_round& round,
                           base::time_point now,
                           std::vector<candidate>& found) const
{
    for (std::size_t k = 0; k < job.occurrences.size(); ++k)
    {
        for (std::size_t s = 0; s < job.occurrences[k].size(); ++s)
        {
            step_record& step = job.occurrences[k][s];
            const int total = static_cast<int>(step.tasks.size());
            if (step.done + step.active >= total)
            {
                continue;
            }
            const jobs::step_spec& spec = spec_of(job, static_cast<int>(s));
            const bool ready = step_ready(job, k, spec);
            if (!ready && !step_soon(job, k, spec, *job.queue, now))
            {
                continue;
            }
            candidate next;
            for (int i = 0; ready && i < total; ++i)
            {
                const task_record& task =
                    step.tasks[static_cast<std::size_t>(i)];
                if (!task.done && !task.worker && now >= task.not_before)
                {
                    next.pending.push_back(i);
                }
            }
            if (spec.gang && ready &&
                static_cast<int>(next.pending.size()) < total)
            {
                continue;
            }
            next.job = &job;
            next.queue = job.queue;
            next.round = &round;
            next.record = &step;
            next.spec = &spec;
            next.key = {job.id, static_cast<int>(k), static_cast<int>(s)};
            next.rank = rank_of(job, *job.queue, spec.standing, now);
            next.due = job.due;
            found.push_back(std::move(next));
        }
    }
}

void fleet::start_tasks(std::vector<candidate>& waiting, base::time_point now,
                        std::vector<order>& orders)
{
    claimed_limits_.clear();
    for (candidate& next : waiting)
    {
        if (next.pending.empty())
        {
            continue;
        }
        const bool all = any_room(next) &&
                         (next.spec->gang ? start_gang(next, now, orders)
                                          : start_single(next, now, orders));
        if (all)
        {
            continue;
        }
        next.considered =
            next.round->unmet < options_.considered_steps || any_room(next);
        ++next.round->unmet;
        if (next.considered)
        {
            make_room(next, now);
            reserve(next);
        }
    }
}

// The workers that take tasks in this round, by service. A step asks beside
// this only for a label.
void fleet::find_open_workers(base::time_point now)
{
    rounds_.clear();
    for (auto& [id, worker] : workers_)
    {
        service_round& round = rounds_[worker.listing.service];
        round.unsettled = round.unsettled ||
                          (!worker.synced && !worker.lease.over(now, since_));
        worker.kept_for = nullptr;
        worker.promised = base::resources();
        for (const auto& [key, run] : worker.runs)
        {
            if (run.phase == run_phase::stopping)
            {
                worker.promised += run.room;
            }
        }
        if (worker.listed && worker.synced && !worker.silent &&
            worker.unmeasured == 0 && !worker.listing.leaving &&
            now >= worker.avoided_until)
        {
            round.open.push_back(&worker);
        }
    }
}

bool fleet::any_room(const candidate& next) const
{
    return std::any_of(next.round->open.begin(), next.round->open.end(),
                       [&](const worker_record* worker)
                       { return has_room(*worker, next); });
}

bool fleet::usable(const worker_record& worker, const candidate& next) const
{
    const std::string& label = next.spec->required_label;
    const auto& labels = worker.listing.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool fleet::has_room(const worker_record& worker, const candidate& next) const
{
    const jobs::step_spec& spec = *next.spec;
    base::resources room = spec.need;
    const base::resources& capacity = worker.listing.capacity;
    if (spec.uses_leftover)
    {
        room.cpu_milli = 0;
        // Half of what it asks for must be free, or it would hardly move on.
        if (capacity.cpu_milli - worker.used.cpu_milli - worker.leftover_used <
            spec.need.cpu_milli / 2)
        {
            return false;
        }
    }
    if (!(worker.used + room).fits_in(capacity))
    {
        return false;
    }
    if (worker.kept_for != nullptr && worker.kept_for != next.record)
    {
        return false;
    }
    if (spec.max_per_worker <= 0)
    {
        return true;
    }
    const auto first = worker.runs.lower_bound({next.key, 0});
    const auto last =
        worker.runs.upper_bound({next.key, std::numeric_limits<int>::max()});
    return std::distance(first, last) < spec.max_per_worker;
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

bool fleet::within_limit(const candidate& next, int count) const
{
    const base::team_id& id = next.job->submission.team;
    const team_policy* team = catalogue_->team(id);
    if (team == nullptr)
    {
        return true;
    }
    const base::resources after = usage_of(id) + next.spec->need * count;
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
        cost += accelerator_cost * static_cast<double>(left.accelerators);
    }
    if (next.spec->uses_leftover)
    {
        // The most room, so that they disturb others least.
        cost = -static_cast<double>(left.cpu_milli - worker.leftover_used);
    }
    const std::string& rack = next.spec->data_rack;
    const auto& labels = worker.listing.labels;
    if (!rack.empty() &&
        std::find(labels.begin(), labels.end(), rack) == labels.end())
    {
        cost += far_cost;
    }
    return cost;
}

bool fleet::start_single(candidate& next, base::time_point now,
                         std::vector<order>& orders)
{
    std::vector<int> left;
    for (const int index : next.pending)
    {
        task_record& task = next.record->tasks[static_cast<std::size_t>(index)];
        worker_record* best = nullptr;
        double best_cost = std::numeric_limits<double>::max();
        if (left.empty() && within_limit(next, 1))
        {
            for (worker_record* worker : next.round->open)
            {
                if (!usable(*worker, next) || !has_room(*worker, next) ||
                    !has_ticket(*worker, next, now))
                {
                    continue;
                }
                double cost = cost_of(*worker, next);
                cost += task.avoid == worker->listing.worker ? avoided_cost : 0;
                if (cost < best_cost)
                {
                    best = worker;
                    best_cost = cost;
                }
            }
        }
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
    for (worker_record* worker : next.round->open)
    {
        if (usable(*worker, next) && has_ticket(*worker, next, now))
        {
            open.push_back(worker);
            racks.insert(worker->listing.labels.empty()
                             ? std::string()
                             : worker->listing.labels.back());
        }
    }
    // Places the gang on the workers of one rack, or of all for an empty name.
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
                const double cost =
                    cost_of(*worker, next) -
                    static_cast<double>(own.cpu_milli) -
                    accelerator_cost * static_cast<double>(own.accelerators);
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
    attach(worker, key, added, task);
    next.job->begun = true;
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

// Keeps the worker with the most room free from the steps behind this one.
void fleet::reserve(const candidate& next)
{
    service_round& round = *next.round;
    if (!within_limit(next, 1) ||
        static_cast<double>(round.kept + 1) >
            options_.reserved_part * static_cast<double>(round.open.size()))
    {
        return;
    }
    worker_record* best = nullptr;
    base::resources best_free;
    for (worker_record* worker : round.open)
    {
        const bool allowed = !next.queue->tickets ||
                             next.record->tickets.contains(worker->number);
        if (!allowed || worker->kept_for != nullptr || !usable(*worker, next) ||
            !next.spec->need.fits_in(worker->listing.capacity))
        {
            continue;
        }
        const base::resources free = worker->listing.capacity - worker->used;
        if (best == nullptr || free.accelerators > best_free.accelerators ||
            (free.accelerators == best_free.accelerators &&
             free.cpu_milli > best_free.cpu_milli))
        {
            best = worker;
            best_free = free;
        }
    }
    if (best != nullptr)
    {
        ++round.kept;
        best->kept_for = next.record;
    }
}

} // namespace coltsfootrack::fleet
