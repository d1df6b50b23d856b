#ifndef COLTSFOOTRACK_FLEET_START_RESULT_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_START_RESULT_HPP_INCLUDED

#include <coltsfootrack/fleet/order_outcome.hpp>

#include <chrono>
#include <optional>
#include <tuple>

namespace coltsfootrack::fleet
{

// The answer to a start order.
struct start_result
{
    order_outcome outcome = order_outcome::unknown;
    // The worker's own monotonic clock when it answered, if it did. A restarted
    // worker answers like the former one, but its clock starts anew.
    std::optional<std::chrono::milliseconds> clock;

    friend bool operator==(const start_result& a, const start_result& b)
    {
        return std::tie(a.outcome, a.clock) == std::tie(b.outcome, b.clock);
    }

    friend bool operator!=(const start_result& a, const start_result& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
