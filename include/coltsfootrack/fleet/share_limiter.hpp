#ifndef COLTSFOOTRACK_FLEET_SHARE_LIMITER_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_SHARE_LIMITER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <algorithm>
#include <chrono>

namespace coltsfootrack::fleet
{

// A token bucket that tells which jobs of a team are within its share. When a
// team sends many times its usual load, its jobs beyond the share wait behind
// those of other teams.
//
// Thread safety: none.
class share_limiter
{
public:
    // Whether one more job at this time is within the rate; if so, takes a
    // token. The bucket holds the share of the window plus `burst_jobs` jobs. A
    // time before the last one counts as the last one.
    bool try_take(double per_second, std::chrono::seconds window,
                  int burst_jobs, base::time_point at)
    {
        const double capacity =
            per_second * static_cast<double>(window.count()) + burst_jobs;
        if (!started_)
        {
            started_ = true;
            tokens_ = capacity;
            last_ = at;
        }
        const double seconds =
            std::max(0.0, std::chrono::duration<double>(at - last_).count());
        last_ = std::max(last_, at);
        tokens_ = std::min(capacity, tokens_ + seconds * per_second);
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    bool started_ = false;
    double tokens_ = 0;
    base::time_point last_;
};

} // namespace coltsfootrack::fleet

#endif
