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

// Decides when a VM that is missing from the platform's list counts as gone.
// Absence is measured from the arrival of the first list without the VM to the
// request time of the latest one; it starts anew when two lists are more than
// timing::max_list_interval apart. While the platform is unreachable, no VM
// becomes gone.
//
// Keeps state only for the watched daemons.
//
// Thread safety: none.
class absence_tracker
{
public:
    explicit absence_tracker(timing periods = {});

    // Sets the daemons to watch and drops the state of all others.
    void watch(const std::vector<base::daemon_id>& daemons);

    // Records a list that was requested at `sent` and arrived at `now`.
    // Ignored if a list requested later has already arrived.
    void list_received(base::time_point sent,
                       const std::vector<listed_daemon>& list,
                       base::time_point now);

    // Whether the daemon is watched and has been absent for
    // timing::absence_timeout.
    bool is_gone(const base::daemon_id& daemon) const;

private:
    struct absence
    {
        // When the first list without the VM arrived; none while listed.
        std::optional<base::time_point> since;
    };

    timing periods_;
    std::optional<base::time_point> last_sent_;
    std::optional<base::time_point> last_received_;
    std::map<base::daemon_id, absence> watched_;
};

} // namespace coltsfootrack::coordination

#endif
