#ifndef COLTSFOOTRACK_DAEMON_OWNERSHIP_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_OWNERSHIP_AGENT_HPP_INCLUDED

#include <coltsfootrack/coordination/session_lease.hpp>
#include <coltsfootrack/coordination/zone_ownership.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/daemon/table_view.hpp>
#include <coltsfootrack/store/vm_list.hpp>
#include <coltsfootrack/wire/promise_answer.hpp>
#include <coltsfootrack/wire/promise_request.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace coltsfootrack::daemon
{

// Carries out the decisions of coordination::zone_ownership for the own zone.
//
// Thread safety: control thread only.
class ownership_agent
{
public:
    struct events
    {
        // This daemon became the owner of the zone, under the epoch.
        std::function<void(std::uint64_t epoch)> on_gained;
        // This daemon is no longer the owner.
        std::function<void()> on_lost;
        // Asks for a read of the table that starts after this call.
        std::function<void()> on_read_needed;
    };

    ownership_agent(agent_context& context, events handlers);

    void start();
    void on_renewal(base::time_point commit_start);
    void on_fenced();
    void on_view(const table_view& view);
    void on_vm_list(const store::vm_list& list);
    void on_promise_request(const base::daemon_id& from,
                            const wire::promise_request& request);
    void on_promise_answer(const base::daemon_id& from,
                           const wire::promise_answer& answer);

    // Releases the zone, so that another daemon of the zone can take over at
    // once. on_lost is called when that is done.
    void release();

    // Commands may be sent until then; none if the daemon may not act.
    std::optional<base::time_point> acting_until() const;

    std::uint64_t epoch() const
    {
        return zone_.epoch();
    }

    // The version of the row owner/<zone> under the own epoch; each commit of a
    // claim requires it.
    std::uint64_t owner_version() const
    {
        return owner_version_;
    }

    coordination::ownership_role role() const
    {
        return zone_.role();
    }

    const base::daemon_id& owner() const
    {
        return zone_.owner();
    }

    // Whether the session's lease is valid; without it no takeover is possible.
    bool has_session() const;

private:
    // A session row as stored. A successor that fences the session changes one
    // field and keeps the rest.
    struct stored_session
    {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    void step();
    void submit_proposal(const coordination::ownership_proposal& proposal);
    void report_ownership_change();

    agent_context& context_;
    events handlers_;
    coordination::session_lease lease_;
    coordination::zone_ownership zone_;
    bool session_confirmed_ = false;
    bool owns_zone_ = false;
    std::uint64_t owner_version_ = 0;
    std::map<base::daemon_id, stored_session> session_values_;
    // Counts fences, so that callbacks of earlier proposals are ignored.
    std::uint64_t generation_ = 0;
};

} // namespace coltsfootrack::daemon

#endif
