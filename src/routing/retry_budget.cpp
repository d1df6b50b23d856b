// The token bucket described in the header, in thousandths of a token.

#include <coltsfootrack/routing/retry_budget.hpp>

#include <algorithm>

namespace coltsfootrack::routing
{
namespace
{

constexpr std::int64_t milli = 1000;

constexpr std::int64_t nanoseconds_per_second = 1000000000;

} // namespace

retry_budget::retry_budget(retry_budget_options options, base::time_point now)
    : options_(options)
    , milli_tokens_(options.capacity * milli)
    , refilled_(now)
{
}

void retry_budget::count_request(base::time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    refill(now);
    milli_tokens_ =
        std::min(milli_tokens_ + options_.permille, options_.capacity * milli);
}

bool retry_budget::take(base::time_point now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    refill(now);
    if (milli_tokens_ < milli)
    {
        ++refused_;
        return false;
    }
    milli_tokens_ -= milli;
    ++granted_;
    return true;
}

std::uint64_t retry_budget::granted() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return granted_;
}

std::uint64_t retry_budget::refused() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return refused_;
}

void retry_budget::refill(base::time_point now)
{
    // Threads may arrive in another order than they read the clock.
    if (options_.min_per_second == 0 || now <= refilled_)
    {
        return;
    }
    // The interval per thousandth is rounded up, so that the rate never exceeds
    // min_per_second.
    const std::int64_t per_second = options_.min_per_second * milli;
    const auto interval = std::chrono::nanoseconds(
        (nanoseconds_per_second + per_second - 1) / per_second);
    const std::int64_t added = (now - refilled_) / interval;
    refilled_ += added * interval;
    const std::int64_t room = options_.capacity * milli - milli_tokens_;
    milli_tokens_ += std::min(added, room);
}

} // namespace coltsfootrack::routing
