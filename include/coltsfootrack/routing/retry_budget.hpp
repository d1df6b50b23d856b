#ifndef COLTSFOOTRACK_ROUTING_RETRY_BUDGET_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RETRY_BUDGET_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/routing/retry_budget_options.hpp>

#include <cstdint>
#include <mutex>

namespace coltsfootrack::routing
{

// Limits retries to a fraction of the requests, so that retries do not overload
// failing runners.
//
// A token bucket: each request adds a tenth of a token, each second adds a
// small minimum, and each retry takes one token. Over any time span there are
// at most requests / 10 + minimum * seconds + capacity retries.
//
// Thread safety: all functions may be called from any thread.
class retry_budget
{
public:
    // The bucket is full at the start.
    retry_budget(retry_budget_options options, base::time_point now);

    // Counts the first attempt of a request.
    void count_request(base::time_point now);

    // Takes one token. Returns false if there is none: the retry must not be
    // made.
    bool take(base::time_point now);

    // Retries granted and refused since the start.
    std::uint64_t granted() const;
    std::uint64_t refused() const;

private:
    void refill(base::time_point now);

    retry_budget_options options_;
    mutable std::mutex mutex_;
    // In thousandths of a token, so that no rounding accumulates.
    std::int64_t milli_tokens_;
    base::time_point refilled_;
    std::uint64_t granted_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace coltsfootrack::routing

#endif
