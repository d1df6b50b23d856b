#ifndef COLTSFOOTRACK_COORDINATION_ABSENCE_TRACKER_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_ABSENCE_TRACKER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/listed_daemon.hpp>
#include <coltsfootrack/coordination/timing.hpp>

#include <map>
#include <optional>
#include <vector>

namespace coltsfootrack::coordination
{

// Tells how long the platform's list has shown a VM as gone. Only answers
// count: absence is continuous from the arrival of the first list without the
// VM to the sending of the last one, with no interval between lists above
// timing::max_list_interval. While the platform is not reachable nobody becomes
// gone.
//
// Bounded by the watched daemons: state is kept only for those.
//
// Thread safety: none.
class absence_tracker
{
public:
    explicit absence_tracker(timing periods = {});

    // Sets the daemons to watch; others are forgotten.
    void watch(const std::vector<base::daemon_id>& daemons);

    // A list arrived; `sent` is the time before it was requested. Lists
    // requested before the last one that arrived are ignored.
    void list_received(base::time_point sent,
                       const std::vector<listed_daemon>& list,
                       base::time_point now);

    // Whether the daemon is watched and has been shown as gone for
    // timing::absence_timeout.
    bool is_gone(const base::daemon_id& daemon) const;

private:
    struct absence
    {
        // The arrival of the first list without the VM; none while listed.
        std::optional<base::time_point> since;
    };

    timing periods_;
    std::optional<base::time_point> last_sent_;
    std::optional<base::time_point> last_received_;
    std::map<base::daemon_id, absence> watched_;
};

} // namespace coltsfootrack::coordination

#endif
