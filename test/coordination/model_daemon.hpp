#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_DAEMON_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_DAEMON_HPP_INCLUDED

#include <coordination/model_stream.hpp>
#include <coordination/model_table.hpp>

#include <coltsfootrack/coordination/acceptor_state.hpp>
#include <coltsfootrack/coordination/config_freshness.hpp>
#include <coltsfootrack/coordination/quota_ledger.hpp>
#include <coltsfootrack/coordination/zone_ownership.hpp>

#include <map>
#include <optional>
#include <string>

namespace coltsfootrack::coordination
{

class model_cluster;

// One daemon process of the simulation: drives the state machines as the real
// daemon does, with a simple commit stream. All times are on its own clock.
class model_daemon
{
public:
    model_daemon(model_cluster& cluster, const base::daemon_id& name,
                 const base::zone_id& in_zone, const std::string& process);

    // Runs all timers; called every 100 ms.
    void tick();

    void submit_ticket(std::uint64_t number, const base::resources& limit);
    void receive_promise_request(const base::daemon_id& from,
                                 const promise_request& request);
    void receive_query(const base::daemon_id& from, std::uint64_t round);

    base::time_point now() const;
    bool may_act() const;
    // The usable slice; zero while the daemon may not act.
    base::resources usable() const;

    base::daemon_id id;
    base::zone_id zone_id;
    std::string incarnation;
    zone_ownership zone;
    config_freshness freshness;

private:
    bool due(base::time_point& last, base::duration interval) const;
    void read_table();
    void table_read(base::time_point sent, const model_table& table);
    void run_quota();
    void run_zone();
    void run_acceptor();
    void propose(const ownership_proposal& proposal);
    void propose(const membership_proposal& proposal);
    void propose(const quota_proposal& proposal);

    model_cluster& cluster_;
    acceptor_state acceptor_;
    model_stream stream_;
    std::optional<quota_ledger> quota_;
    std::uint64_t quota_epoch_ = 0;
    base::time_point quota_since_{};
    base::resources use_;
    base::resources waiting_;
    std::map<base::daemon_id, base::time_point> last_heard_;
    base::time_point last_read_{};
    base::time_point last_round_{};
    base::time_point last_demand_{};
    base::time_point over_since_{};
};

} // namespace coltsfootrack::coordination

#endif
