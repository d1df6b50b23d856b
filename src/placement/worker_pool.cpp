// Registration of workers and the search for one.

#include "worker_pool.hpp"

#include "fit.hpp"

#include <algorithm>
#include <cmath>

namespace coltsfootrack::placement
{
namespace
{

double inverse(std::int64_t value)
{
    return value > 0 ? 1.0 / static_cast<double>(value) : 0.0;
}

// Added to the score of an accelerator worker for a task without accelerators,
// so that it comes after every plain worker: the other terms stay below 4.
constexpr double accelerator_worker_penalty = 8;

// Added to the score per task of the job in the same rack.
constexpr double rack_penalty = 64;

// A worker on probation comes first, since only finished tasks end its
// probation early.
constexpr double probation_bonus = -32;

// The weight of an uneven remainder of processors and memory against the size
// of the remainder.
constexpr double uneven_weight = 0.5;

bool avoids(const worker_query& query, std::uint64_t serial)
{
    return !query.avoid.empty() &&
           std::find(query.avoid.begin(), query.avoid.end(), serial) !=
               query.avoid.end();
}

} // namespace

handle worker_pool::add(const worker_spec& spec)
{
    const auto [entry, inserted] = by_id_.try_emplace(spec.id, no_handle);
    if (inserted)
    {
        if (unused_.empty())
        {
            workers_.emplace_back();
            entry->second = static_cast<handle>(workers_.size() - 1);
        }
        else
        {
            entry->second = unused_.back();
            unused_.pop_back();
        }
        worker_record& added = workers_[entry->second];
        for (worker_record& other : workers_)
        {
            if (other.known && other.spec.id < spec.id)
            {
                ++added.order;
            }
            else if (other.known)
            {
                ++other.order;
            }
        }
        added.known = true;
        added.serial = next_serial_++;
    }
    worker_record& worker = workers_[entry->second];
    worker.spec = spec;
    worker.rack =
        racks_.try_emplace(spec.rack, static_cast<std::uint32_t>(racks_.size()))
            .first->second;
    worker.free = spec.capacity - worker.booked - worker.held;
    worker.inverse_cpu = inverse(spec.capacity.cpu_milli);
    worker.inverse_memory = inverse(spec.capacity.memory_mb);
    worker.inverse_accelerator = inverse(spec.capacity.accelerators);
    update_totals();
    return entry->second;
}

void worker_pool::remove(handle worker)
{
    const std::uint32_t order = workers_[worker].order;
    by_id_.erase(workers_[worker].spec.id);
    workers_[worker] = worker_record();
    unused_.push_back(worker);
    for (worker_record& other : workers_)
    {
        if (other.known && other.order > order)
        {
            --other.order;
        }
    }
    update_totals();
}

handle worker_pool::find(const base::worker_id& id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? no_handle : found->second;
}

void worker_pool::update_totals()
{
    capacity_ = {};
    largest_ = {};
    for (const worker_record& worker : workers_)
    {
        if (worker.known)
        {
            largest_ = base::component_max(largest_, worker.spec.capacity);
            if (worker.state == worker_state::live)
            {
                capacity_ += worker.spec.capacity;
            }
        }
    }
}

void worker_pool::book(handle worker, const base::resources& size)
{
    workers_[worker].booked += size;
    workers_[worker].free -= size;
}

void worker_pool::hold(handle worker, const base::resources& size)
{
    workers_[worker].held += size;
    workers_[worker].free -= size;
}

bool worker_pool::usable_room(const worker_record& worker,
                              const worker_query& query,
                              base::resources& result) const
{
    if (worker.state != worker_state::live || !worker.known)
    {
        return false;
    }
    if (worker.health != worker_health::healthy &&
        (worker.health == worker_health::quarantined ||
         !query.allows_probation || !worker.bookings.empty()))
    {
        return false;
    }
    result = worker.free;
    if (query.respects_reservations && worker.reserved_for != no_handle &&
        worker.reserved_for != query.job && query.end > worker.reserved_until)
    {
        result -= worker.reserved;
    }
    const base::resources& capacity = worker.spec.capacity;
    if (query.keeps_accelerators && query.size.accelerators == 0 &&
        capacity.accelerators > 0)
    {
        const std::int64_t idle =
            std::max<std::int64_t>(worker.free.accelerators, 0);
        result.cpu_milli -= capacity.cpu_milli * idle / capacity.accelerators;
        result.memory_mb -= capacity.memory_mb * idle / capacity.accelerators;
    }
    return can_fit(result, query.size) && !avoids(query, worker.serial);
}

double worker_pool::score(const worker_record& worker,
                          const worker_query& query) const
{
    const base::resources left = worker.free - query.size;
    const double cpu = static_cast<double>(left.cpu_milli) * worker.inverse_cpu;
    const double memory =
        static_cast<double>(left.memory_mb) * worker.inverse_memory;
    double result = cpu + memory + uneven_weight * std::abs(cpu - memory);
    if (worker.spec.capacity.accelerators > 0)
    {
        result += query.size.accelerators > 0
                      ? static_cast<double>(left.accelerators) *
                            worker.inverse_accelerator
                      : accelerator_worker_penalty;
    }
    if (query.rack_tasks != nullptr && worker.rack < query.rack_tasks->size())
    {
        result += rack_penalty * (*query.rack_tasks)[worker.rack];
    }
    if (worker.health == worker_health::probation)
    {
        result += probation_bonus;
    }
    return result;
}

handle worker_pool::best_worker(const worker_query& query) const
{
    handle chosen = no_handle;
    double lowest = 0;
    base::resources available;
    for (handle i = 0; i < workers_.size(); ++i)
    {
        const worker_record& worker = workers_[i];
        if (!can_fit(worker.free, query.size) ||
            !usable_room(worker, query, available))
        {
            continue;
        }
        const double rating = score(worker, query);
        if (chosen == no_handle || rating < lowest ||
            (rating == lowest && worker.order < workers_[chosen].order))
        {
            chosen = i;
            lowest = rating;
        }
    }
    return chosen;
}

bool worker_pool::can_fit_all(const worker_query& query,
                              std::int64_t tasks) const
{
    base::resources available;
    for (const worker_record& worker : workers_)
    {
        if (tasks <= 0)
        {
            break;
        }
        if (can_fit(worker.free, query.size) &&
            usable_room(worker, query, available))
        {
            tasks -= fit_count(available, query.size, tasks);
        }
    }
    return tasks <= 0;
}

bool worker_pool::plain_worker_could_fit(const base::resources& size) const
{
    return std::any_of(workers_.begin(), workers_.end(),
                       [&size](const worker_record& worker)
                       {
                           return worker.known &&
                                  worker.spec.capacity.accelerators == 0 &&
                                  size.fits_in(worker.spec.capacity);
                       });
}

bool worker_pool::could_fit(const base::resources& size,
                            std::int64_t tasks) const
{
    for (const worker_record& worker : workers_)
    {
        if (tasks <= 0)
        {
            break;
        }
        if (worker.known)
        {
            tasks -= fit_count(worker.spec.capacity, size, tasks);
        }
    }
    return tasks <= 0;
}

} // namespace coltsfootrack::placement
