#ifndef COLTSFOOTRACK_BASE_CLOCK_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_CLOCK_HPP_INCLUDED

#include <chrono>

namespace coltsfootrack::base
{

// A point on the monotonic time line of one VM. It has no meaning on another
// VM; only durations may be sent to a peer.
using time_point = std::chrono::steady_clock::time_point;

// A span of time. Messages carry milliseconds.
using duration = std::chrono::steady_clock::duration;

// The source of time for all code that measures leases and timeouts.
//
// Decision code never reads a clock: it is handed a time_point. The code that
// drives it owns a clock, so that tests replace it by manual_clock.
//
// Thread safety: all functions may be called from any thread.
class clock
{
public:
    virtual ~clock() = default;

    // The monotonic time. It goes on while the VM is suspended, so that a
    // suspended lease holder finds its lease expired.
    virtual time_point now() const = 0;

    // The time of day, for log lines only.
    virtual std::chrono::system_clock::time_point wall() const = 0;
};

} // namespace coltsfootrack::base

#endif
