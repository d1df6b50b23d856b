// The lease of one worker.

#include <coltsfootrack/fleet/worker_lease.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

// The platform states that a worker's clock may be 2% slow.
constexpr double min_clock_rate = 0.98;

// Covers the granularity of the clocks.
constexpr std::chrono::milliseconds clock_margin{100};

// The rounding of two readings of a clock.
constexpr std::chrono::milliseconds clock_granularity{2};

// The longest time on this daemon's clock until the worker's clock has advanced
// by `on_worker`.
base::duration longest_leader_time(std::chrono::milliseconds on_worker)
{
    return std::chrono::duration_cast<base::duration>(
               std::chrono::duration<double, std::milli>(on_worker) /
               min_clock_rate) +
           clock_margin;
}

} // namespace

worker_lease::worker_lease(milliseconds length, milliseconds longest,
                           milliseconds delivery)
    : length_(std::min(length, longest))
    , longest_(longest)
    , delivery_(delivery)
{
}

void worker_lease::note_clock(milliseconds clock, base::time_point sent,
                              base::time_point now)
{
    if (!known_)
    {
        // A former leader may have granted the longest lease until just now.
        granted_ = clock + longest_;
    }
    known_ = true;
    clock_ = clock;
    clock_at_ = now;
    clock_asked_at_ = sent;
}

bool worker_lease::same_clock(milliseconds clock, base::time_point sent,
                              base::time_point now) const
{
    if (!known_)
    {
        return true;
    }
    const std::chrono::duration<double, std::milli> passed = sent - clock_at_;
    // A call sent before the last answer arrived may have been answered first.
    const auto least = std::chrono::duration_cast<milliseconds>(
        passed.count() > 0 ? passed * min_clock_rate : passed);
    const auto most = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(now - clock_asked_at_) /
        min_clock_rate);
    return clock + clock_granularity >= clock_ + least &&
           clock <= clock_ + most + clock_granularity;
}

void worker_lease::restart(milliseconds clock, base::time_point sent,
                           base::time_point now, milliseconds late)
{
    // The worker read its clock after `sent`. A former leader may have granted
    // a lease until then, if this one did not.
    const std::chrono::duration<double, std::milli> last_arrival =
        last_grant_at_ ? *last_grant_at_ + delivery_ + late - sent
                       : base::duration::zero();
    granted_ = clock + longest_ +
               std::chrono::duration_cast<milliseconds>(
                   last_arrival.count() > 0 ? last_arrival
                                            : last_arrival * min_clock_rate);
    known_ = true;
    clock_ = clock;
    clock_at_ = now;
    clock_asked_at_ = sent;
}

std::optional<worker_lease::milliseconds>
worker_lease::grant(base::time_point now)
{
    if (!known_)
    {
        return std::nullopt;
    }
    const auto passed =
        std::chrono::duration_cast<milliseconds>(now - clock_at_);
    const milliseconds end = clock_ + passed + length_;
    granted_ = std::max(granted_.value_or(end), end);
    last_grant_at_ = now;
    return end;
}

bool worker_lease::expired(base::time_point now, base::time_point since,
                           bool restarts) const
{
    if (!known_)
    {
        return now >= (restarts
                           ? since + delivery_ + longest_leader_time(longest_)
                           : since + longest_leader_time(length_));
    }
    return !granted_ ||
           now >= clock_at_ + longest_leader_time(*granted_ - clock_);
}

bool worker_lease::expired_in_later_life(base::time_point now) const
{
    return !last_grant_at_ ||
           now >= *last_grant_at_ + delivery_ + longest_leader_time(longest_);
}

} // namespace coltsfootrack::fleet
