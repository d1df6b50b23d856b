// The names of order outcomes in log lines and metrics.

#include <coltsfootrack/fleet/order_outcome.hpp>

#include <array>
#include <cstddef>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::array<std::string_view, order_outcome_count> names = {
    "carried_out", "fenced",       "old_run",   "late",    "no_room",
    "bad_ticket",  "other_worker", "unhealthy", "refused", "unknown"};

} // namespace

std::string_view name_of(order_outcome outcome)
{
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace coltsfootrack::fleet
