#include <coltsfootrack/cell/retry_after.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{
namespace
{

// Connections to other daemons are tried with the next attempt, so a second is
// enough for an outage of one daemon.
constexpr std::chrono::seconds min_wait{1};

// Objectives of most jobs are some seconds to some tens of seconds.
constexpr std::chrono::seconds max_wait{4};

} // namespace

std::chrono::seconds retry_after(base::duration outage_age)
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(outage_age),
                      min_wait, max_wait);
}

} // namespace coltsfootrack::cell
