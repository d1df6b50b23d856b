#ifndef COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <optional>

namespace coltsfootrack::fleet
{

// Tracks the clock of one worker and the lease of its runs.
//
// A lease ends at a time on the worker's own clock, so a delayed order grants
// no more than it did when it was sent. The worker's clock may run slow; once
// the lease has expired even so, nothing runs there any more.
//
// Thread safety: none.
class worker_lease
{
public:
    using milliseconds = std::chrono::milliseconds;

    // The length of the leases to grant, and of the longest lease that a former
    // leader may have granted.
    worker_lease(milliseconds length, milliseconds longest);

    // The worker answered with its current clock.
    void note_clock(milliseconds clock, base::time_point now);

    // Whether the worker whose clock is known can have answered a call that was
    // sent at `sent` with this clock; if not, it has been restarted. True
    // before the first answer.
    bool same_clock(milliseconds clock, base::time_point sent) const;

    // The worker was restarted: its clock restarts and no lease is in force.
    void reset();

    // Grants a lease and returns its end, on the worker's clock; nothing before
    // the first answer. The grant counts whether or not it reaches the worker.
    std::optional<milliseconds> grant(base::time_point now);

    // Whether no lease granted by this leader or a former one can be in force
    // any more. `since` is when this leader fenced off the former ones.
    bool expired(base::time_point now, base::time_point since) const;

    // The latest end granted, on the worker's clock.
    std::optional<milliseconds> granted() const
    {
        return granted_;
    }

private:
    milliseconds length_;
    milliseconds longest_;
    bool known_ = false;
    milliseconds clock_{0};
    base::time_point clock_at_;
    std::optional<milliseconds> granted_;
};

} // namespace coltsfootrack::fleet

#endif
