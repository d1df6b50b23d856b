#ifndef COLTSFOOTRACK_FLEET_SHARE_METER_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_SHARE_METER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <algorithm>
#include <chrono>

namespace coltsfootrack::fleet
{

// Tells which jobs of a team are within its share: a token bucket. It answers
// one team that sends many times its usual load: what lies beyond its share
// waits behind the work of others.
//
// Thread safety: none.
class share_meter
{
public:
    // Whether one more job at this time is within the rate per second, where
    // the share of a window and some jobs more may come at once. Times before
    // the last one count as that.
    bool take(double per_second, std::chrono::seconds window, int slack,
              base::time_point at)
    {
        const double capacity =
            per_second * static_cast<double>(window.count()) + slack;
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
