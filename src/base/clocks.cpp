// The two implementations of the clock interface.

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/base/system_clock.hpp>

#include <ctime>

namespace coltsfootrack::base
{

time_point system_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) +
        std::chrono::nanoseconds(time.tv_nsec)));
}

std::chrono::system_clock::time_point system_clock::wall() const
{
    return std::chrono::system_clock::now();
}

time_point manual_clock::now() const
{
    return time_point(duration(elapsed_.load()));
}

std::chrono::system_clock::time_point manual_clock::wall() const
{
    return std::chrono::system_clock::time_point(
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
            duration(elapsed_.load())));
}

void manual_clock::advance(duration span)
{
    elapsed_ += span.count();
}

} // namespace coltsfootrack::base
