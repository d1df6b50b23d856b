#ifndef COLTSFOOTRACK_TEST_SIMULATION_VIRTUAL_TIME_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SIMULATION_VIRTUAL_TIME_HPP_INCLUDED

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/base/random_source.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace coltsfootrack::simulation
{

using std::chrono::milliseconds;

// The clock, the scheduled events and the random numbers of one simulation.
// Events of the same time run in the order in which they were scheduled.
class virtual_time
{
public:
    explicit virtual_time(std::uint64_t seed)
        : random_(base::seeded_random(seed))
    {
    }

    const base::clock& clock() const
    {
        return clock_;
    }

    base::time_point now() const
    {
        return clock_.now();
    }

    std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(
                   now().time_since_epoch())
            .count();
    }

    void after(base::duration delay, std::function<void()> action)
    {
        events_.emplace(std::pair(now() + delay, next_number_++),
                        std::move(action));
    }

    std::optional<base::time_point> next_due() const
    {
        return events_.empty() ? std::nullopt
                               : std::optional<base::time_point>(
                                     events_.begin()->first.first);
    }

    // Runs the next event if it is due; false if none is.
    bool run_next()
    {
        if (events_.empty() || events_.begin()->first.first > now())
        {
            return false;
        }
        const std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
        return true;
    }

    void advance_to(base::time_point time)
    {
        if (time > now())
        {
            clock_.advance(time - now());
        }
    }

    // A number from `low` to `high`, both included.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low +
               static_cast<std::int64_t>(
                   random_() % static_cast<std::uint64_t>(high - low + 1));
    }

    milliseconds between(milliseconds low, milliseconds high)
    {
        return milliseconds(between(low.count(), high.count()));
    }

    bool chance(int percent)
    {
        return between(0, 99) < percent;
    }

private:
    base::manual_clock clock_;
    base::random_source random_;
    std::map<std::pair<base::time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t next_number_ = 0;
};

} // namespace coltsfootrack::simulation

#endif
