#ifndef COLTSFOOTRACK_DAEMON_TABLE_POLLER_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_TABLE_POLLER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/daemon/environment.hpp>
#include <coltsfootrack/daemon/table_view.hpp>

#include <functional>
#include <set>
#include <string>

namespace coltsfootrack::daemon
{

// Reads the shared rows (sessions, owner, membership, configuration head) and
// the VM list every 2 s, and hands them to the agents.
//
// All session rows are read on every fifth poll, to find new daemons; the other
// polls read only the sessions of the own zone, of the owner and of the
// acceptors, since all of them would use a sixth of the control traffic of a
// daemon.
//
// Thread safety: control thread only.
class table_poller
{
public:
    using view_handler = std::function<void(const table_view&)>;
    using list_handler = std::function<void(const store::vm_list&)>;

    table_poller(environment& shared, view_handler on_view,
                 list_handler on_list);

    void start();

    // Reads at once; called when an agent waits for a fresh read.
    void poll_now();

private:
    void poll_list();
    std::vector<std::string> session_keys() const;

    environment& shared_;
    view_handler on_view_;
    list_handler on_list_;
    bool reading_ = false;
    bool listing_ = false;
    bool again_ = false;
    unsigned polls_ = 0;
    std::map<base::daemon_id, base::zone_id> known_;
    std::set<base::daemon_id> members_;
    base::daemon_id owner_;
};

} // namespace coltsfootrack::daemon

#endif
