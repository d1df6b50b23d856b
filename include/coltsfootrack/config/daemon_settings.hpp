#ifndef COLTSFOOTRACK_CONFIG_DAEMON_SETTINGS_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_DAEMON_SETTINGS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/log_level.hpp>
#include <coltsfootrack/config/address.hpp>
#include <coltsfootrack/config/http_limits.hpp>
#include <coltsfootrack/config/peer_settings.hpp>
#include <coltsfootrack/config/store_budget.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <string_view>
#include <vector>

namespace coltsfootrack::config
{

// The settings of one daemon, read once at startup.
struct daemon_settings
{
    base::daemon_id id;
    base::zone_id zone;
    base::region_id region;
    // Where the daemon accepts HTTP requests.
    address http_address;
    // Where the daemon accepts frames from other daemons.
    address peer_address;
    // All other daemons, at most max_peers.
    std::vector<peer_settings> peers;
    // The platform's table, object store and VM list.
    address platform_address;
    base::log_level log_level = base::log_level::info;
    http_limits limits;
    store_budget store;
};

// The largest settings text and the most peers that parse_settings accepts.
// The design size is 18 daemons.
constexpr std::size_t max_settings_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_peers = 127;

// Reads settings from JSON with comments. Checks each field for type and
// range, reports unknown fields with the closest known name, and returns all
// errors at once: invalid_settings, one line "path: message" per error.
absl::StatusOr<daemon_settings> parse_settings(std::string_view text);

} // namespace coltsfootrack::config

#endif
