// Component-wise operations on resource amounts.

#include <coltsfootrack/base/resources.hpp>

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::base
{

resources component_min(const resources& a, const resources& b)
{
    return {std::min(a.cpu_milli, b.cpu_milli),
            std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

resources component_max(const resources& a, const resources& b)
{
    return {std::max(a.cpu_milli, b.cpu_milli),
            std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

std::string to_string(const resources& value)
{
    return fmt::format("{:g} cores, {} MiB, {} accelerators",
                       static_cast<double>(value.cpu_milli) / 1000.0,
                       value.memory_mb, value.accelerators);
}

} // namespace coltsfootrack::base
