#ifndef COLTSFOOTRACK_DAEMON_RESOURCES_JSON_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_RESOURCES_JSON_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <nlohmann/json.hpp>

namespace coltsfootrack::daemon
{

// {"cpu_milli", "memory_mb", "accelerators"}, the form of all interfaces.
nlohmann::json to_json(const base::resources& value);

// Reads the same form; a missing field counts as 0. Throws
// nlohmann::json::exception if a field has the wrong type.
base::resources resources_from_json(const nlohmann::json& value);

} // namespace coltsfootrack::daemon

#endif
