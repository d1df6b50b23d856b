// The lease of one worker.

#include <coltsfootrack/fleet/worker_lease.hpp>

#include <algorithm>

namespace coltsfootrack::fleet
{
namespace
{

// The platform states that a worker's clock may be 2% slow.
constexpr double slowest_clock = 0.98;

// For the granularity of the clocks.
constexpr std::chrono::milliseconds margin{100};

base::duration longest_span(std::chrono::milliseconds on_worker)
{
    return std::chrono::duration_cast<base::duration>(
               std::chrono::duration<double, std::milli>(on_worker) /
               slowest_clock) +
           margin;
}

} // namespace

worker_lease::worker_lease(milliseconds length, milliseconds longest)
    : length_(std::min(length, longest))
    , longest_(longest)
{
}

void worker_lease::note_clock(milliseconds clock, base::time_point now)
{
    if (!known_)
    {
        // A former leader may have granted the longest lease until just now.
        granted_ = clock + longest_;
    }
    known_ = true;
    clock_ = clock;
    clock_at_ = now;
}

void worker_lease::reset()
{
    known_ = false;
    granted_.reset();
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
    return end;
}

bool worker_lease::over(base::time_point now, base::time_point since) const
{
    if (!known_)
    {
        return now >= since + longest_span(longest_);
    }
    return !granted_ || now >= clock_at_ + longest_span(*granted_ - clock_);
}

} // namespace coltsfootrack::fleet
