#ifndef COLTSFOOTRACK_TEST_COORDINATION_MODEL_CLUSTER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_COORDINATION_MODEL_CLUSTER_HPP_INCLUDED

#include <coordination/model_daemon.hpp>
#include <coordination/model_fault.hpp>
#include <coordination/model_table.hpp>

#include <coltsfootrack/base/random_source.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace coltsfootrack::coordination
{

// A discrete-event simulation of two zones with three daemons each, a table and
// an unreliable network. After each event it checks the state of the daemons
// against the table and records the first violation.
//
// Real time is a duration from 0. Each VM's clock has a random offset and runs
// up to 1% fast or slow.
class model_cluster
{
public:
    // With `reliable` no message is lost or delayed for long, and no ticket is
    // submitted after 30 s; for tests of time bounds.
    explicit model_cluster(std::uint64_t seed, bool reliable = false);

    // Runs the simulation with these faults until the given time. Returns the
    // first violation, or an empty string.
    std::string run(const std::vector<model_fault>& faults,
                    base::duration until);

    // Functions for the daemons. Calls to the store and messages may be delayed
    // or lost; a call whose answer is lost may have taken effect.
    void call_store(const model_daemon& from,
                    std::function<void(model_table&)> request,
                    std::function<void()> answer);
    void send(const model_daemon& from, const base::daemon_id& to,
              std::function<void(model_daemon&)> message);
    base::time_point local_time(const base::daemon_id& daemon) const;
    std::uint64_t random(std::uint64_t below);
    std::vector<base::daemon_id> daemon_ids() const;
    void process_fenced(const model_daemon& process);

    // Per zone: when it first had an acting owner, how many acting owners in
    // turn, the epoch, and the longest time without an acting owner after the
    // first.
    struct zone_statistics
    {
        int owners = 0;
        int epochs = 0;
        base::duration first{-1};
        base::duration longest_gap{0};
        base::duration last_acting{0};
        base::daemon_id last_owner;
    };

    // The position of a zone's owner in daemon_ids().
    int owner_index(const base::zone_id& zone) const;

    // The number of daemons whose configuration is proved current.
    int current_daemons() const;

    model_table table;
    // The real time and the sequence of each accepted ticket.
    std::vector<std::pair<base::duration, std::uint64_t>> accepted;
    std::map<base::zone_id, zone_statistics> statistics;

private:
    struct vm
    {
        base::zone_id zone;
        base::duration offset;
        std::int64_t rate_ppm = 1000000;
        std::unique_ptr<model_daemon> process;
        base::duration paused_until{0};
        base::duration store_cut_until{0};
        base::duration peers_cut_until{0};
        base::duration listed_from{0};
        base::duration listed_until = base::duration::max();
        bool removed = false;
    };

    struct event
    {
        base::duration at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void schedule(base::duration after, std::function<void()> run);
    void deliver(const base::daemon_id& to,
                 std::function<void(model_daemon&)> message);
    base::duration delay(bool slow);
    void add_vm(const base::zone_id& zone);
    void start_process(const base::daemon_id& id);
    void kill(const base::daemon_id& id, base::duration restart_after);
    void tick(const base::daemon_id& id);
    void inject(const model_fault& fault);
    void update_list();
    void submit_tickets();
    void check();
    void check_owners();
    void check_quota();
    void check_freshness();
    void check_table();
    void fail(const std::string& text);

    bool lost();

    base::random_source source_;
    bool reliable_;
    base::duration now_{0};
    std::uint64_t events_ = 0;
    std::priority_queue<event> queue_;
    std::map<base::daemon_id, vm> vms_;
    int vm_count_ = 0;
    std::uint64_t process_count_ = 0;
    base::duration store_down_until_{0};
    base::duration store_slow_until_{0};
    std::map<base::zone_id, base::duration> zone_cut_until_;
    std::uint64_t tickets_ = 0;
    std::map<base::zone_id, owner_row> checked_owners_;
    base::resources checked_total_;
    base::resources allowed_;
    std::uint64_t checked_limit_ = 0;
    std::string violation_;
};

} // namespace coltsfootrack::coordination

#endif
