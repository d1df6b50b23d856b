#ifndef COLTSFOOTRACK_BASE_CLOCK_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_CLOCK_HPP_INCLUDED

#include <chrono>

namespace coltsfootrack::base
{

// A point in the monotonic time of one VM. It is meaningless on another VM,
// which can only send it back, with a duration added; see cell/peer_time.hpp.
using time_point = std::chrono::steady_clock::time_point;

// A span of time. Messages between daemons carry milliseconds.
using duration = std::chrono::steady_clock::duration;

// The source of time for all code that measures leases and timeouts.
//
// Decision logic never reads a clock: its callers pass a time_point. They hold
// the clock, which tests replace by a manual_clock.
//
// Thread safety: all functions may be called from any thread.
class clock
{
public:
    virtual ~clock() = default;

    // The monotonic time. It advances while the VM is suspended, so that a
    // lease holder finds its lease expired when the VM resumes.
    virtual time_point now() const = 0;

    // The time of day, for log lines only.
    virtual std::chrono::system_clock::time_point wall() const = 0;
};

} // namespace coltsfootrack::base

#endif
