#ifndef COLTSFOOTRACK_DAEMON_TABLE_POLLER_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_TABLE_POLLER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/table_view.hpp>

#include <functional>
#include <set>
#include <string>

namespace coltsfootrack::daemon
{

// Reads the shared rows (sessions, owner, membership, configuration head) and
// the VM list every 2 s, and hands them to the agents.
//
// Every fifth poll reads all session rows, to discover new daemons. The others
// read only the sessions of the own zone, of the owner and of the acceptors:
// reading all of them each time would be a sixth of a daemon's control traffic.
//
// Thread safety: control thread only.
class table_poller
{
public:
    using view_handler = std::function<void(const table_view&)>;
    using list_handler = std::function<void(const store::vm_list&)>;

    table_poller(agent_context& context, view_handler on_view,
                 list_handler on_list);

    void start();

    // Polls at once, or again after the poll in flight; called when an agent
    // needs a fresh read.
    void poll_now();

private:
    void poll_list();
    std::vector<std::string> session_keys() const;

    agent_context& context_;
    view_handler on_view_;
    list_handler on_list_;
    bool reading_ = false;
    bool reading_list_ = false;
    bool poll_again_ = false;
    unsigned polls_ = 0;
    std::map<base::daemon_id, base::zone_id> known_daemons_;
    std::set<base::daemon_id> acceptors_;
    base::daemon_id owner_;
};

} // namespace coltsfootrack::daemon

#endif
