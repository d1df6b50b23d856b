// The names of the kinds of run ends, which the platform uses too.

#include <coltsfootrack/fleet/run_end.hpp>

#include <array>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::array<std::string_view, 6> names = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

} // namespace

std::string_view name_of(end_kind kind)
{
    return names[static_cast<std::size_t>(kind)];
}

} // namespace coltsfootrack::fleet
