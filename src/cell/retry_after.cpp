#include <coltsfootrack/cell/retry_after.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{
namespace
{

// The next attempt may reach another daemon, so a second is enough if the store
// is down for one daemon only.
constexpr std::chrono::seconds min_wait{1};

// The latency objectives of most jobs are between a few and some tens of
// seconds.
constexpr std::chrono::seconds max_wait{4};

} // namespace

std::chrono::seconds retry_after(base::duration outage_age)
{
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(outage_age),
                      min_wait, max_wait);
}

} // namespace coltsfootrack::cell
