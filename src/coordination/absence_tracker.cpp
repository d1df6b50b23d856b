// Updates absences from each list; the rules are described in the header.

#include <coltsfootrack/coordination/absence_tracker.hpp>

#include <algorithm>

namespace coltsfootrack::coordination
{

absence_tracker::absence_tracker(timing periods)
    : periods_(periods)
{
}

void absence_tracker::watch(const std::vector<base::daemon_id>& daemons)
{
    std::map<base::daemon_id, absence> watched;
    for (const base::daemon_id& daemon : daemons)
    {
        const auto found = watched_.find(daemon);
        watched[daemon] = found == watched_.end() ? absence{} : found->second;
    }
    watched_ = std::move(watched);
}

void absence_tracker::list_received(base::time_point sent,
                                    const std::vector<listed_daemon>& list,
                                    base::time_point now)
{
    if (last_sent_ && sent < *last_sent_)
    {
        return;
    }
    const bool gap =
        last_received_ && sent - *last_received_ > periods_.max_list_interval;
    for (auto& [daemon, state] : watched_)
    {
        const bool listed =
            std::any_of(list.begin(), list.end(),
                        [&id = daemon](const listed_daemon& entry)
                        { return entry.daemon == id; });
        if (listed)
        {
            state.since.reset();
        }
        else if (!state.since || gap)
        {
            state.since = now;
        }
    }
    last_sent_ = sent;
    last_received_ = now;
}

bool absence_tracker::is_gone(const base::daemon_id& daemon) const
{
    const auto found = watched_.find(daemon);
    return found != watched_.end() && found->second.since && last_sent_ &&
           *last_sent_ - *found->second.since >= periods_.absence_timeout;
}

} // namespace coltsfootrack::coordination
