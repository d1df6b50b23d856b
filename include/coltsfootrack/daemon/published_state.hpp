#ifndef COLTSFOOTRACK_DAEMON_PUBLISHED_STATE_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_PUBLISHED_STATE_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/config/snapshot.hpp>
#include <coltsfootrack/daemon/vm_directory.hpp>
#include <coltsfootrack/daemon/zone_status.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootrack::daemon
{

// State that the control thread publishes for the connection threads.
//
// Thread safety: all functions may be called from any thread.
class published_state
{
public:
    published_state();

    config::snapshot::pointer config() const;
    void set_config(config::snapshot::pointer value);

    std::shared_ptr<const vm_directory> directory() const;
    void set_directory(std::shared_ptr<const vm_directory> value);

    // Records an owner's report about its zone. Reports of an epoch lower than
    // the known one are ignored.
    void set_zone(const base::zone_id& zone, const zone_status& status);

    // The status of a zone; none if the last report is older than 8 s.
    std::optional<zone_status> zone(const base::zone_id& zone,
                                    base::time_point now) const;

    // The proof that the configuration is current expires then. Requests with a
    // team's key are refused afterwards.
    void set_config_valid_until(std::optional<base::time_point> until);

    // The team of a key. Errors: those of snapshot::authenticate, and
    // config_stale if the proof that the configuration is current has expired.
    absl::StatusOr<base::team_id> authenticate(std::string_view key,
                                               base::time_point now) const;

    // Whether new work is refused because the daemon shuts down.
    bool draining() const
    {
        return draining_.load();
    }

    void begin_drain()
    {
        draining_ = true;
    }

private:
    mutable std::mutex mutex_;
    config::snapshot::pointer config_;
    std::shared_ptr<const vm_directory> directory_;
    std::map<base::zone_id, zone_status> zones_;
    std::optional<base::time_point> config_valid_until_;
    std::atomic<bool> draining_{false};
};

} // namespace coltsfootrack::daemon

#endif
