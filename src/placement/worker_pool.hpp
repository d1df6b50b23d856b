#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_POOL_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_POOL_HPP_INCLUDED

#include "handle.hpp"
#include "worker_query.hpp"
#include "worker_record.hpp"
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/worker_spec.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// The workers of a zone and the search for the best one.
//
// A search scans every worker. At the design size that takes about a
// microsecond or two, and no index has to be kept consistent with the bookings.
//
// Limits: one record per worker that the platform lists. Thread safety: none.
class worker_pool
{
public:
    // Adds a worker or updates the rack and capacity of a known one.
    handle add(const worker_spec& spec);
    void remove(handle worker);
    // The worker with the id, or no_handle.
    handle find(const base::worker_id& id) const;

    worker_record& operator[](handle worker)
    {
        return workers_[worker];
    }

    const worker_record& operator[](handle worker) const
    {
        return workers_[worker];
    }

    // One past the highest handle; records below it may be unused.
    handle end() const
    {
        return static_cast<handle>(workers_.size());
    }

    std::size_t size() const
    {
        return by_id_.size();
    }

    std::size_t racks() const
    {
        return racks_.size();
    }

    // The capacity of all live workers.
    const base::resources& capacity() const
    {
        return capacity_;
    }

    // The largest amount of each resource that one worker has.
    const base::resources& largest() const
    {
        return largest_;
    }

    // Recomputes the totals after a change of a worker's state.
    void update_totals();

    // Adds to what is booked or held on a worker; the size may be negative.
    void book(handle worker, const base::resources& size);
    void hold(handle worker, const base::resources& size);

    // Stores what the query may use of the worker in result; false if the
    // worker is not eligible or the task does not fit.
    bool usable_room(const worker_record& worker, const worker_query& query,
                     base::resources& result) const;

    // The best worker for one task, or no_handle if none fits. In order: racks
    // with fewer tasks of the job if they are spread, workers on probation,
    // workers without accelerators if the task needs none, the tightest and
    // most even fit, the lowest id.
    handle best_worker(const worker_query& query) const;

    // Whether the given number of tasks fits on all workers together.
    bool can_fit_all(const worker_query& query, std::int64_t tasks) const;

    // Whether the task would fit on an empty worker without accelerators.
    bool plain_worker_could_fit(const base::resources& size) const;

    // Whether the tasks would fit if all workers were empty.
    bool could_fit(const base::resources& size, std::int64_t tasks) const;

private:
    double score(const worker_record& worker, const worker_query& query) const;

    std::vector<worker_record> workers_;
    std::vector<handle> unused_;
    absl::flat_hash_map<base::worker_id, handle> by_id_;
    absl::flat_hash_map<base::rack_id, std::uint32_t> racks_;
    base::resources capacity_;
    base::resources largest_;
    std::uint64_t next_serial_ = 1;
};

} // namespace coltsfootrack::placement

#endif
