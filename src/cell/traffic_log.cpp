// Describes what a daemon's link carried.

#include <coltsfootrack/cell/traffic_log.hpp>

#include <algorithm>
#include <fmt/core.h>
#include <utility>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

// The purposes named in one line.
constexpr std::size_t max_purposes = 8;

std::uint64_t sum_of(const byte_counts& counts)
{
    return counts.sent + counts.received;
}

} // namespace

std::string
traffic_log::next_fields(const std::map<std::string, byte_counts>& totals)
{
    byte_counts all;
    std::vector<std::pair<std::string, byte_counts>> purposes;
    for (const auto& [purpose, total] : totals)
    {
        byte_counts& last = last_[purpose];
        const byte_counts since{total.sent - last.sent,
                                total.received - last.received};
        last = total;
        all.sent += since.sent;
        all.received += since.received;
        if (sum_of(since) > 0)
        {
            purposes.emplace_back(purpose, since);
        }
    }
    if (purposes.empty())
    {
        return {};
    }
    std::stable_sort(purposes.begin(), purposes.end(),
                     [](const auto& a, const auto& b)
                     { return sum_of(a.second) > sum_of(b.second); });
    std::string fields =
        fmt::format("sent={} received={}", all.sent, all.received);
    purposes.resize(std::min(purposes.size(), max_purposes));
    for (const auto& [purpose, counts] : purposes)
    {
        fields +=
            fmt::format(" {}={}/{}", purpose, counts.sent, counts.received);
    }
    return fields;
}

} // namespace coltsfootrack::cell
