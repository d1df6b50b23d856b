#ifndef COLTSFOOTRACK_DAEMON_OWNERSHIP_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_OWNERSHIP_AGENT_HPP_INCLUDED

#include <coltsfootrack/coordination/session_lease.hpp>
#include <coltsfootrack/coordination/zone_ownership.hpp>
#include <coltsfootrack/daemon/environment.hpp>
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

// Carries out what coordination::zone_ownership decides for the own zone.
//
// Thread safety: control thread only.
class ownership_agent
{
public:
    struct events
    {
        // The zone is owned from now on, under the epoch; `owner_version` is
        // the version of the row owner/<zone>.
        std::function<void(std::uint64_t epoch)> on_gained;
        // The zone is not owned any more.
        std::function<void()> on_lost;
        // A read after this moment is needed.
        std::function<void()> on_read_needed;
    };

    ownership_agent(environment& shared, events handlers);

    void start();
    void on_renewal(base::time_point commit_start);
    void on_fenced();
    void on_view(const table_view& view);
    void on_vm_list(const store::vm_list& list);
    void on_promise_request(const base::daemon_id& from,
                            const wire::promise_request& request);
    void on_promise_answer(const base::daemon_id& from,
                           const wire::promise_answer& answer);

    // Gives the zone up so that another daemon of the zone can take over at
    // once. Answers through on_lost.
    void release();

    // Until when commands may be sent; nothing if the daemon may not act.
    std::optional<base::time_point> acting_until() const;

    std::uint64_t epoch() const
    {
        return zone_.epoch();
    }

    // The version of the row owner/<zone> under the own epoch; every claim is
    // conditional on it.
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

    // Whether the session is valid, so that the daemon can take over.
    bool has_session() const;

private:
    // A session row as it stands in the table. A successor that fences the
    // session changes one field of it and keeps the rest.
    struct stored_session
    {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    void step();
    void propose(const coordination::ownership_proposal& proposal);
    void after_change();

    environment& shared_;
    events handlers_;
    coordination::session_lease lease_;
    coordination::zone_ownership zone_;
    bool confirmed_ = false;
    bool owning_ = false;
    std::uint64_t owner_version_ = 0;
    std::map<base::daemon_id, stored_session> session_values_;
    // Distinguishes the callbacks of proposals made before a fence.
    std::uint64_t generation_ = 0;
};

} // namespace coltsfootrack::daemon

#endif
