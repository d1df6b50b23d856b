#ifndef COLTSFOOTRACK_BASE_MANUAL_CLOCK_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_MANUAL_CLOCK_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <atomic>

namespace coltsfootrack::base
{

// A clock that changes only when advanced, for tests and for programs that
// embed the library with simulated time.
class manual_clock final : public clock
{
public:
    time_point now() const override;
    std::chrono::system_clock::time_point wall() const override;

    // Advances the clock by a span that is not negative.
    void advance(duration span);

private:
    std::atomic<duration::rep> elapsed_{0};
};

} // namespace coltsfootrack::base

#endif
