#ifndef COLTSFOOTRACK_BASE_SYSTEM_CLOCK_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_SYSTEM_CLOCK_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

namespace coltsfootrack::base
{

// The clock of the operating system: CLOCK_BOOTTIME and the time of day.
class system_clock final : public clock
{
public:
    time_point now() const override;
    std::chrono::system_clock::time_point wall() const override;
};

} // namespace coltsfootrack::base

#endif
