// Requests placement tickets.
//
// A request takes the deciding service a fixed time and a little per worker,
// and each calling daemon has one request at a time. So steps that can start
// now come first, then the steps at the head of the queue, which keep their
// tickets valid to use room as soon as it appears. Whether a worker may run a
// step does not change during a life of the worker, so a renewal names only
// workers known to be eligible.

#include "candidate.hpp"
#include "count_fitting.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

// Added to the expected latency of a request to give its timeout.
constexpr std::chrono::milliseconds answer_timeout_margin{1500};

} // namespace

void fleet::on_tickets(const jobs::step_key& key,
                       const std::vector<base::worker_id>& asked,
                       const std::optional<std::vector<ticket_grant>>& grants,
                       base::time_point valid_until)
{
    step_record* step = find_step(key);
    if (step == nullptr)
    {
        return;
    }
    step->request_in_flight = false;
    base::log(base::log_level::info, "fleet",
              "Tickets decided. job={} occurrence={} step={} asked={} good={}",
              key.job.text(), key.occurrence, key.step, asked.size(),
              grants ? static_cast<int>(grants->size()) : -1);
    if (!grants)
    {
        return;
    }
    for (const base::worker_id& id : asked)
    {
        const auto worker = workers_.find(id);
        if (worker != workers_.end())
        {
            step->ineligible[worker->second.number] = worker->second.life;
            step->tickets.erase(worker->second.number);
        }
    }
    for (const ticket_grant& grant : *grants)
    {
        const auto worker = workers_.find(grant.worker);
        if (worker != workers_.end())
        {
            step->ineligible.erase(worker->second.number);
            step->tickets[worker->second.number] = {worker->second.life,
                                                    grant.ticket, valid_until};
        }
    }
}

// Names the workers with the most free capacity. A step with enough eligible
// workers names only those. A single task needs one of them; for a gang
// they must have room for all tasks now, or capacity for twice as many, since
// other work takes some of it.
std::vector<base::worker_id> fleet::workers_to_ask(const candidate& next) const
{
    struct option
    {
        const worker_record* worker;
        bool eligible;
        bool room;
    };
    const jobs::step_spec& spec = *next.spec;
    const int wanted = spec.gang ? std::max(1, spec.tasks) : 1;
    const int enough = spec.gang ? 2 * wanted : 1;
    const int per_worker =
        spec.max_per_worker > 0 ? spec.max_per_worker : wanted;
    std::vector<option> options;
    bool room_without_ticket = false;
    int eligible_slots_now = 0;
    int eligible_slots_total = 0;
    std::size_t eligible_workers = 0;
    for (const worker_record* entry : next.round->schedulable)
    {
        const worker_record& worker = *entry;
        const base::resources& capacity = worker.listing.capacity;
        if (!matches_label(worker, next) || !spec.need.fits_in(capacity))
        {
            continue;
        }
        const auto refused = next.record->ineligible.find(worker.number);
        if (refused != next.record->ineligible.end() &&
            refused->second == worker.life)
        {
            continue;
        }
        const auto held = next.record->tickets.find(worker.number);
        const bool eligible = held != next.record->tickets.end() &&
                              held->second.life == worker.life;
        const bool room = has_room(worker, next);
        options.push_back({&worker, eligible, room});
        room_without_ticket = room_without_ticket || (room && !eligible);
        if (eligible)
        {
            ++eligible_workers;
            eligible_slots_total +=
                count_fitting(capacity, spec.need, per_worker);
            eligible_slots_now +=
                room ? std::max(1, count_fitting(capacity - worker.used,
                                                 spec.need, per_worker))
                     : 0;
        }
    }
    std::stable_sort(options.begin(), options.end(),
                     [](const option& a, const option& b)
                     {
                         const auto free = [](const option& o)
                         {
                             const base::resources left =
                                 o.worker->listing.capacity - o.worker->used;
                             return std::make_tuple(!o.room, -left.accelerators,
                                                    -left.cpu_milli);
                         };
                         return free(a) < free(b);
                     });
    const bool known = eligible_workers == options.size();
    const bool renew = known || eligible_slots_now >= wanted ||
                       (eligible_slots_total >= enough && !room_without_ticket);
    // A gang needs the tickets of all its workers at the same time, so it names
    // the eligible ones along with those not asked about yet.
    const bool eligible_first = spec.gang && !renew;
    std::vector<base::worker_id> named;
    const auto name_some = [&](bool eligible, std::size_t limit)
    {
        for (const option& entry : options)
        {
            if (named.size() < limit && entry.eligible == eligible)
            {
                named.push_back(entry.worker->listing.worker);
            }
        }
    };
    if (renew)
    {
        const std::size_t members = spec.gang ? spec.tasks : 0;
        name_some(true, std::min(options_.max_ticket_workers,
                                 options_.renewed_workers + members));
    }
    else if (eligible_first)
    {
        name_some(true, options_.max_ticket_workers / 2);
        name_some(false, options_.max_ticket_workers);
    }
    else
    {
        for (const option& entry : options)
        {
            if (named.size() < options_.max_ticket_workers)
            {
                named.push_back(entry.worker->listing.worker);
            }
        }
    }
    return named;
}

bool fleet::any_fresh_ticket(const candidate& next, base::time_point now) const
{
    return std::any_of(
        next.record->tickets.begin(), next.record->tickets.end(),
        [&](const auto& held)
        {
            const worker_record* worker =
                workers_by_number_[static_cast<std::size_t>(held.first)];
            return worker != nullptr && worker->schedulable &&
                   matches_label(*worker, next) &&
                   has_ticket(*worker, next, now);
        });
}

// Whether a worker has room and may turn out eligible, but the step has no
// valid ticket for it.
bool fleet::any_room_without_ticket(const candidate& next,
                                    base::time_point now) const
{
    return may_have_room(next) &&
           std::any_of(
               next.round->schedulable.begin(), next.round->schedulable.end(),
               [&](const worker_record* worker)
               {
                   if (!has_room(*worker, next) ||
                       !matches_label(*worker, next))
                   {
                       return false;
                   }
                   const auto refused =
                       next.record->ineligible.find(worker->number);
                   const bool may = refused == next.record->ineligible.end() ||
                                    refused->second != worker->life;
                   return may && !has_ticket(*worker, next, now);
               });
}

void fleet::order_tickets(std::vector<candidate>& waiting, base::time_point now,
                          ticket_request_allowance allowance,
                          std::vector<order>& orders)
{
    std::map<base::service_id, std::size_t> heads;
    for (const candidate& next : waiting)
    {
        if (allowance.total == 0)
        {
            return;
        }
        if (!next.queue->tickets || !next.considered ||
            (!next.limit_attainable && !within_limit(next, 1)) ||
            (next.record->request_in_flight &&
             now - next.record->requested_at <
                 next.queue->tickets->decide_time + answer_timeout_margin))
        {
            continue;
        }
        if (next.spec->gang && !next.pending.empty() &&
            !next.limit_attainable &&
            !within_limit(next, static_cast<int>(next.pending.size())))
        {
            continue;
        }
        const bool ready = !next.pending.empty() || !next.departing.empty();
        std::size_t& head = heads[next.queue->service];
        const auto& policy = *next.queue->tickets;
        const bool cheap = policy.decide_time < allowance.long_request;
        const bool at_head = cheap || head < options_.fresh_ticket_steps;
        head += ready && !cheap ? 1 : 0;
        // A step that waits for room renews its tickets when all have expired;
        // one that could start on other workers requests tickets for those.
        const bool wanted =
            (ready && any_room_without_ticket(next, now)) ||
            ((!ready || at_head) && !any_fresh_ticket(next, now));
        if (!wanted)
        {
            continue;
        }
        std::vector<base::worker_id> named = workers_to_ask(next);
        if (named.empty())
        {
            continue;
        }
        const auto expected =
            policy.decide_time +
            static_cast<double>(named.size()) * policy.time_per_worker;
        const bool long_request = expected > allowance.long_request;
        if (long_request && allowance.long_requests == 0)
        {
            continue;
        }
        allowance.long_requests -= long_request ? 1 : 0;
        --allowance.total;
        allowance.long_requests =
            std::min(allowance.long_requests, allowance.total);
        next.record->request_in_flight = true;
        next.record->requested_at = now;
        orders.push_back(
            ticket_order{next.key, std::move(named),
                         std::chrono::ceil<std::chrono::milliseconds>(expected),
                         policy.valid_for});
    }
}

} // namespace coltsfootrack::fleet
