// The names of job states on the wire and in the store.

#include <coltsfootrack/jobs/job_state.hpp>

#include <algorithm>
#include <array>

namespace coltsfootrack::jobs
{
namespace
{

constexpr std::array<std::string_view, 5> names = {
    "queued", "running", "completed", "failed", "cancelled"};

} // namespace

std::string_view name_of(job_state state)
{
    return names[static_cast<std::size_t>(state)];
}

std::optional<job_state> state_named(std::string_view name)
{
    const auto* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
    {
        return std::nullopt;
    }
    return static_cast<job_state>(found - names.begin());
}

} // namespace coltsfootrack::jobs
