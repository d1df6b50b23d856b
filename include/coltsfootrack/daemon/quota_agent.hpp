#ifndef COLTSFOOTRACK_DAEMON_QUOTA_AGENT_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_QUOTA_AGENT_HPP_INCLUDED

#include <coltsfootrack/coordination/quota_ledger.hpp>
#include <coltsfootrack/daemon/environment.hpp>
#include <coltsfootrack/placement/scheduler_counters.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace coltsfootrack::daemon
{

// Moves the quota slices of all teams for the owner of a zone: reads rows,
// commits what the ledgers plan, and tells the scheduler what is usable.
//
// Thread safety: control thread only. Callbacks keep the object alive.
class quota_agent : public std::enable_shared_from_this<quota_agent>
{
public:
    using slice_handler =
        std::function<void(const base::team_id&, const base::resources&)>;

    quota_agent(environment& shared, slice_handler on_slice);

    // The teams or their limits changed; reads the limits from the table,
    // because a raise is conditional on the version of the team's row.
    void config_changed();

    // Updates demand and plans transfers; called every 200 ms while the daemon
    // may act. `pending` is the capacity of workers not yet adopted.
    void step(const placement::scheduler_counters& counters,
              const base::resources& pending);

    void stop();

private:
    void read_rows();
    void commit(const base::team_id& team,
                const coordination::quota_proposal& proposal);
    void publish(const base::team_id& team);

    environment& shared_;
    slice_handler on_slice_;
    std::map<base::team_id, coordination::quota_ledger> ledgers_;
    std::map<base::team_id, base::resources> published_;
    bool reading_limits_ = false;
    bool limits_stale_ = false;
    bool reading_rows_ = false;
    bool stopped_ = false;
    base::time_point next_read_{};
    // Teams with waiting work that found no free part in the row they know.
    std::set<base::team_id> short_;
    base::time_point next_short_read_{};
};

} // namespace coltsfootrack::daemon

#endif
