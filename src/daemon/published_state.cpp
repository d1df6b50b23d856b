// State shared between the control thread and the connection threads.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/daemon/published_state.hpp>

#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

// Four missed heartbeats.
constexpr std::chrono::seconds zone_status_lifetime{8};

} // namespace

published_state::published_state()
    : config_(config::snapshot::empty())
    , directory_(std::make_shared<vm_directory>())
{
}

config::snapshot::pointer published_state::config() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return config_;
}

void published_state::set_config(config::snapshot::pointer value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    config_ = std::move(value);
}

std::shared_ptr<const vm_directory> published_state::directory() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return directory_;
}

void published_state::set_directory(std::shared_ptr<const vm_directory> value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    directory_ = std::move(value);
}

void published_state::set_zone(const base::zone_id& zone,
                               const zone_status& status)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    zone_status& known = zones_[zone];
    if (status.epoch >= known.epoch)
    {
        known = status;
    }
}

std::optional<zone_status> published_state::zone(const base::zone_id& zone,
                                                 base::time_point now) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = zones_.find(zone);
    if (found == zones_.end() ||
        now - found->second.heard_at > zone_status_lifetime)
    {
        return std::nullopt;
    }
    return found->second;
}

void published_state::set_config_valid_until(
    std::optional<base::time_point> until)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    config_valid_until_ = until;
}

absl::StatusOr<base::team_id>
published_state::authenticate(std::string_view key, base::time_point now) const
{
    config::snapshot::pointer current;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!config_valid_until_ || now >= *config_valid_until_)
        {
            return base::make_error(base::error_kind::config_stale,
                                    "the configuration of this daemon is not "
                                    "proved to be current");
        }
        current = config_;
    }
    return current->authenticate(key);
}

} // namespace coltsfootrack::daemon
