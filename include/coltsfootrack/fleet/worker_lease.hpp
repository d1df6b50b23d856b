#ifndef COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <optional>

namespace coltsfootrack::fleet
{

// Tracks the clock of one worker and the lease of its runs.
//
// A lease ends at a time on the worker's own clock, so a delayed call grants no
// more than it did when it was sent. The worker's clock may run slow; once the
// lease has expired even so, nothing runs there any more.
//
// This does not hold for a call that reaches a later life of the worker, whose
// clock differs: the worker shortens a lease that is too long for it to the
// longest one, counted from the arrival of the call.
//
// Thread safety: none.
class worker_lease
{
public:
    using milliseconds = std::chrono::milliseconds;

    // The length of the leases to grant, the longest lease that the worker
    // takes, and the longest time from a grant until the call that carries it
    // reaches the worker.
    worker_lease(milliseconds length, milliseconds longest,
                 milliseconds delivery);

    // The worker answered a call that was sent at `sent` with its current
    // clock.
    void note_clock(milliseconds clock, base::time_point sent,
                    base::time_point now);

    // Whether the worker whose clock is known can have answered a call that was
    // sent at `sent` with this clock; if not, it has been restarted, and its
    // clock with it, which may be behind or ahead of the former one. True
    // before the first answer.
    bool same_clock(milliseconds clock, base::time_point sent,
                    base::time_point now) const;

    // The worker was restarted, and answered a call that was sent at `sent`
    // with its new clock. Calls that carry a lease of its former life may have
    // reached the new one, or still do; `late` is how much longer than
    // `delivery` they may take.
    void restart(milliseconds clock, base::time_point sent,
                 base::time_point now, milliseconds late);

    // Grants a lease and returns its end, on the worker's clock; nothing before
    // the first answer. The grant counts whether or not it reaches the worker.
    std::optional<milliseconds> grant(base::time_point now);

    // Whether no lease granted by this leader or a former one can be in force
    // any more in the known life of the worker, or in any if none is known.
    // `since` is when this leader fenced off the former ones. Without
    // `restarts` the worker is in the life for which they granted it leases.
    bool expired(base::time_point now, base::time_point since,
                 bool restarts = true) const;

    // Whether the same holds for a later life that has not answered this leader
    // yet.
    bool expired_in_later_life(base::time_point now) const;

    // The latest end granted, on the worker's clock.
    std::optional<milliseconds> granted() const
    {
        return granted_;
    }

private:
    milliseconds length_;
    milliseconds longest_;
    milliseconds delivery_;
    bool known_ = false;
    // The clock in the last answer, when that arrived, and when its call was
    // sent.
    milliseconds clock_{0};
    base::time_point clock_at_;
    base::time_point clock_asked_at_;
    std::optional<milliseconds> granted_;
    std::optional<base::time_point> last_grant_at_;
};

} // namespace coltsfootrack::fleet

#endif
