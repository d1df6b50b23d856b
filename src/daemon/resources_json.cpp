// The JSON form of resource amounts.

#include <coltsfootrack/daemon/resources_json.hpp>

namespace coltsfootrack::daemon
{

nlohmann::json to_json(const base::resources& value)
{
    return {{"cpu_milli", value.cpu_milli},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
}

base::resources resources_from_json(const nlohmann::json& value)
{
    return {value.value("cpu_milli", std::int64_t{0}),
            value.value("memory_mb", std::int64_t{0}),
            value.value("accelerators", std::int64_t{0})};
}

} // namespace coltsfootrack::daemon
