#ifndef COLTSFOOTRACK_DAEMON_QUOTA_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_QUOTA_AGENT_HPP_INCLUDED

#include <coltsfootrack/coordination/quota_ledger.hpp>
#include <coltsfootrack/daemon/agent_context.hpp>
#include <coltsfootrack/placement/scheduler_counters.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace coltsfootrack::daemon
{

// Manages the zone's quota slices of all teams for its owner: reads quota rows,
// commits the transfers that the ledgers plan, and gives the scheduler the
// usable amounts.
//
// Thread safety: control thread only. Callbacks keep the object alive.
class quota_agent : public std::enable_shared_from_this<quota_agent>
{
public:
    using slice_handler =
        std::function<void(const base::team_id&, const base::resources&)>;

    quota_agent(agent_context& context, slice_handler on_slice);

    // The teams or their limits changed; reads the limits from the table,
    // because a commit that enlarges a slice requires the team row's version.
    void config_changed();

    // Updates demand and plans transfers; called every 200 ms while the daemon
    // may act. `pending` is the capacity of workers that are not adopted yet.
    void step(const placement::scheduler_counters& counters,
              const base::resources& pending);

    void stop();

private:
    void read_rows();
    void commit(const base::team_id& team,
                const coordination::quota_proposal& proposal);
    void publish(const base::team_id& team);

    agent_context& context_;
    slice_handler on_slice_;
    std::map<base::team_id, coordination::quota_ledger> ledgers_;
    std::map<base::team_id, base::resources> published_;
    bool reading_limits_ = false;
    bool limits_stale_ = false;
    bool reading_rows_ = false;
    bool stopped_ = false;
    base::time_point next_read_{};
    // Teams with waiting work whose row, as last read, has no free quota.
    std::set<base::team_id> starved_teams_;
    base::time_point next_starved_read_{};
};

} // namespace coltsfootrack::daemon

#endif
