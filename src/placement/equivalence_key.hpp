#ifndef COLTSFOOTRACK_PLACEMENT_EQUIVALENCE_KEY_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_EQUIVALENCE_KEY_HPP_INCLUDED

#include "tier.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <tuple>
#include <utility>

namespace coltsfootrack::placement
{

// Everything that decides whether a worker search for a job succeeds. Jobs with
// equal keys succeed or fail together, so a failed search is not repeated for
// them.
struct equivalence_key
{
    base::resources size;
    base::duration run_time{};
    // The number of waiting tasks of a gang; 0 for other jobs.
    std::uint32_t gang_tasks = 0;
    tier level = tier::batch;
    // Services may preempt more than other work.
    bool service = false;
    // Exclusive tasks are not tried on workers on probation.
    bool exclusive = false;
    // The sequence number of a job with failures, holds or a reservation, which
    // is in a class of its own; otherwise 0.
    std::uint64_t own_sequence = 0;

    friend bool operator==(const equivalence_key& a, const equivalence_key& b)
    {
        return std::tie(a.size, a.run_time, a.gang_tasks, a.level, a.service,
                        a.exclusive, a.own_sequence) ==
               std::tie(b.size, b.run_time, b.gang_tasks, b.level, b.service,
                        b.exclusive, b.own_sequence);
    }

    friend bool operator!=(const equivalence_key& a, const equivalence_key& b)
    {
        return !(a == b);
    }

    template <typename H>
    friend H AbslHashValue(H state, const equivalence_key& key) // NOLINT
    {
        return H::combine(std::move(state), key.size.cpu_milli,
                          key.size.memory_mb, key.size.accelerators,
                          key.run_time.count(), key.gang_tasks, key.level,
                          key.service, key.exclusive, key.own_sequence);
    }
};

} // namespace coltsfootrack::placement

#endif
