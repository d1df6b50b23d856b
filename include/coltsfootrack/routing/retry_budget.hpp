#ifndef COLTSFOOTRACK_ROUTING_RETRY_BUDGET_HPP_INCLUDED
#define COLTSFOOTRACK_ROUTING_RETRY_BUDGET_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/routing/retry_budget_options.hpp>

#include <cstdint>
#include <mutex>

namespace coltsfootrack::routing
{

// Limits retries to a part of the requests, so that failing runners are not
// overloaded by repetitions.
//
// A token bucket: each first sending adds a tenth of a token, each second adds
// a small minimum, and each retry takes one token. Over any span the retries
// are at most tenth * requests + minimum * seconds + capacity.
//
// Thread safety: all functions may be called from any thread.
class retry_budget
{
public:
    // The bucket is full at the start.
    retry_budget(retry_budget_options options, base::time_point now);

    // Counts a first sending.
    void count_request(base::time_point now);

    // Takes one token; false if there is none, and the retry must not be made.
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
