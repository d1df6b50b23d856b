#ifndef COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_LEASE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>
#include <optional>

namespace coltsfootrack::fleet
{

// Follows the clock of one worker and the lease of what runs there.
//
// A lease is a time on the worker's own clock, so a delayed order grants no
// more than it did when it was sent. The worker's clock may run slow by
// max_drift; when its lease has certainly passed nothing runs there any more.
//
// Thread safety: none.
class worker_lease
{
public:
    using milliseconds = std::chrono::milliseconds;

    // The lease of each renewal, and the longest that a former leader may have
    // granted.
    worker_lease(milliseconds length, milliseconds longest);

    // An answer with the worker's clock arrived.
    void note_clock(milliseconds clock, base::time_point now);

    // The worker was restarted: its clock starts anew and nothing is leased.
    void reset();

    // The end of a lease that is granted now, on the worker's clock; nothing
    // before the first answer. The grant counts from this call on, whether or
    // not it arrives.
    std::optional<milliseconds> grant(base::time_point now);

    // Whether nothing that was granted, by this leader or one before it, can
    // be in force any more. `since` is when this leader first kept others from
    // granting.
    bool over(base::time_point now, base::time_point since) const;

    // The latest end that was granted, on the worker's clock.
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
    // The latest end granted, on the worker's clock.
    std::optional<milliseconds> granted_;
};

} // namespace coltsfootrack::fleet

#endif
