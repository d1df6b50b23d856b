#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_DAEMON_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_DAEMON_HPP_INCLUDED

#include <coordination/model_mutation.hpp>
#include <coordination/model_table.hpp>

#include <coltsfootrack/coordination/acceptor_state.hpp>
#include <coltsfootrack/coordination/config_freshness.hpp>
#include <coltsfootrack/coordination/quota_ledger.hpp>
#include <coltsfootrack/coordination/session_lease.hpp>
#include <coltsfootrack/coordination/zone_ownership.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::coordination
{

class model_world;

// One daemon process of the model: drives the state machines as the daemon
// does, with a simple commit stream. All times are on its own clock.
class model_daemon
{
public:
    model_daemon(model_world& world, base::daemon_id id, base::zone_id zone,
                 std::string incarnation);

    // Runs all timers; called every 100 ms.
    void tick();

    void shut_down();
    void submit_ticket(std::uint64_t number, const base::resources& limit);
    void receive_promise_request(const base::daemon_id& from,
                                 const promise_request& request);
    void receive_promise(const promise_answer& answer);
    void receive_query(const base::daemon_id& from, std::uint64_t round);
    void receive_answer(const freshness_answer& answer);

    base::time_point now() const;
    bool may_act() const;
    bool is_current() const;
    std::uint64_t sequence() const;
    base::resources usable() const;
    const base::daemon_id& id() const;
    const base::zone_id& zone() const;
    const std::string& incarnation() const;

private:
    struct open_commit
    {
        std::string token;
        std::uint64_t attempt;
        std::optional<model_mutation> mutation;
        base::time_point sent;
    };

    struct commit_result
    {
        bool session_holds = false;
        bool mutation_holds = false;
        std::uint64_t version = 0;
    };

    bool due(base::time_point& last, base::duration interval) const;
    void read_table();
    void table_read(base::time_point sent, const model_table& table);
    void run_quota();
    void run_zone();
    void run_acceptor();
    void run_stream();
    void send_commit(std::optional<model_mutation> mutation);
    void commit_answered(const std::string& token, commit_result result);
    void resolve();
    void resolved(const observed_session& row);
    void succeed(const std::string& token, std::uint64_t version);
    void reject(const open_commit& commit);
    void propose(const ownership_proposal& proposal);
    void propose(const membership_proposal& proposal);
    void propose(const quota_proposal& proposal);

    model_world& world_;
    base::daemon_id id_;
    base::zone_id zone_id_;
    std::string incarnation_;
    session_lease lease_;
    zone_ownership zone_;
    acceptor_state acceptor_;
    config_freshness freshness_;
    std::optional<quota_ledger> quota_;
    std::uint64_t quota_epoch_ = 0;
    base::time_point quota_since_{};
    base::resources use_;
    base::resources waiting_;
    std::map<base::daemon_id, base::time_point> heard_;
    std::optional<std::uint64_t> session_version_;
    std::uint64_t counter_ = 0;
    std::deque<model_mutation> mutations_;
    std::vector<open_commit> open_;
    bool fenced_ = false;
    base::time_point last_read_{};
    base::time_point last_list_{};
    base::time_point last_round_{};
    base::time_point last_commit_{};
    base::time_point last_resolve_{};
    base::time_point last_demand_{};
    base::time_point over_since_{};
};

} // namespace coltsfootrack::coordination

#endif
