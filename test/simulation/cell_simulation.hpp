#ifndef COLTSFOOTRACK_TEST_SIMULATION_CELL_SIMULATION_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SIMULATION_CELL_SIMULATION_HPP_INCLUDED

#include "simulation/standing_progress.hpp"
#include "simulation/store_model.hpp"
#include "simulation/virtual_time.hpp"
#include "simulation/worker_model.hpp"
#include "soak/history_checker.hpp"

#include <coltsfootrack/cell/cell_daemon.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::simulation
{

struct simulation_options
{
    std::uint64_t seed = 1;
    int daemons = 5;
    int workers = 8;
    // How long faults are injected and jobs submitted.
    std::chrono::seconds length{30};
    // How long jobs may take after the last fault.
    std::chrono::seconds finish_limit{60};
    // The longest task, and the longest time between two jobs.
    std::chrono::milliseconds longest_task{1500};
    std::chrono::milliseconds longest_job_interval{250};
    // Whether daemons, workers, connections and the store fail.
    bool faults = true;
    // Whether the zones are cut apart, with the store on either side, again and
    // again for up to this long.
    std::chrono::milliseconds longest_partition{0};
    // Whether the VM of a daemon is lost for good, and later the store is away.
    bool lose_vm_before_outage = false;
    // Whether workers restart under their ids and are cut off from everything
    // soon after, again and again.
    bool cut_after_restart = false;
    // Whether the clock of each life of a worker starts at another time, not at
    // zero.
    bool any_first_clock = false;
    // Whether there are jobs with standing tasks, and workers announce their
    // departure, leave and are replaced, while others are lost or cut off.
    bool leaving_workers = false;
    // Whether the leader or the links of a daemon may fail in the same round of
    // faults as a worker that is lost or cut off without an announcement.
    bool losses_near_leader_changes = true;
    // Whether the queue moves between two services again and again, while
    // workers that have announced their departure are cut off, as others are,
    // and leaders are killed, paused and stopped as planned. Workers then write
    // their entries with each report, and remove them when they leave.
    bool moving_queue = false;
    // Whether what happens is kept as text.
    bool keep_history = false;
};

// Long tasks, and cuts between zones with the store on either side, for up to
// 40 s each.
simulation_options partition_scenario(std::uint64_t seed);

// Long tasks, a VM that is lost for good at 5 s, and the store away from 40 s
// to 55 s.
simulation_options lost_vm_scenario(std::uint64_t seed);

// Long tasks, and workers that restart under their ids and are cut off soon
// after, some of them with the leader's process killed in between.
simulation_options recut_scenario(std::uint64_t seed);

// Single parts fail at random, and the clock of each life of a worker starts
// at another time.
simulation_options any_clock_scenario(std::uint64_t seed);

// Standing tasks besides others, and workers that announce their departure,
// leave and are replaced, with single faults in between.
simulation_options leaving_scenario(std::uint64_t seed);

// The same, but leaders change only in rounds without a worker that is lost or
// cut off without an announcement. A new leader waits for such a worker up to
// the longest lease, which exceeds what standing_progress allows.
simulation_options leaving_apart_scenario(std::uint64_t seed);

// Two services, a queue that moves between them, and workers that are cut off
// or lost near changes of leaders, some of them after an announcement.
simulation_options moving_scenario(std::uint64_t seed);

// A cell of daemons, a store, workers and callers in one thread and in virtual
// time. Every choice is drawn from the seed, so the same seed gives the same
// history.
//
// The daemons are cell_daemon objects, whose control loops are run here. A
// paused daemon runs nothing, and what arrives for it waits; a pause between
// two statements of one event is not modelled.
class cell_simulation
{
public:
    explicit cell_simulation(const simulation_options& options);
    ~cell_simulation();

    cell_simulation(const cell_simulation&) = delete;
    cell_simulation& operator=(const cell_simulation&) = delete;

    // Runs the simulation to its end.
    void run();

    // The broken rules.
    const std::vector<std::string>& violations() const
    {
        return violations_;
    }

    // One line for each event, if it was asked for.
    const std::vector<std::string>& history() const
    {
        return history_;
    }

    std::uint64_t starts() const
    {
        return checker_.starts();
    }

    // The runs that ended with their lease.
    int lapsed() const
    {
        return lapsed_;
    }

    // The workers that announced their departure and left.
    int departures() const
    {
        return departures_;
    }

    // The ends of standing runs without a next one in time that were not
    // judged.
    int excused_gaps() const
    {
        return progress_.excused();
    }

private:
    // One daemon, over its lives.
    struct node
    {
        base::daemon_id id;
        base::zone_id zone;
        std::uint64_t incarnation = 0;
        std::unique_ptr<cell::cell_daemon> daemon;
        // Expires with the daemon; the ports check it.
        std::shared_ptr<bool> alive;
        wire::peer_events events;
        bool paused = false;
        // Its VM does not answer, and it is not started again.
        bool gone = false;
        // What arrives during a pause.
        std::deque<std::function<void()>> held;
    };

    // The connection of two daemons, in both directions.
    struct link
    {
        bool up = false;
        // Differs for each connection; messages of a former one are lost.
        std::uint64_t number = 0;
        milliseconds extra_delay{0};
        // When the last message in each direction arrives.
        base::time_point busy[2];
    };

    static constexpr std::int64_t worker_cpu = 4000;

    using link_key = std::pair<std::size_t, std::size_t>;

    // A worker, and the platform's entry for it.
    struct worker_entry
    {
        std::unique_ptr<worker_model> model;
        base::zone_id zone;
        base::time_point heard;
        bool listed = false;
        // Has announced its departure.
        bool leaving = false;
        // The one of the two services.
        bool second_service = false;
        // Not reached by the daemons of this zone, or of all if it is "*".
        std::string cut_from;
        bool cut_from_store = false;
    };

    struct caller_job
    {
        jobs::job_submission submission;
        int tries = 0;
        int uncertain = 0;
    };

    // Daemons.
    void start_node(std::size_t index);
    void kill_node(std::size_t index);
    void pause_node(std::size_t index, milliseconds length);
    void resume_node(std::size_t index);
    void deliver(std::size_t index, std::function<void()> action);
    cell::ports make_ports(std::size_t index);
    cell::peer_port make_peers(std::size_t index);
    std::optional<std::size_t> leader() const;

    // Connections between daemons.
    link& link_of(std::size_t a, std::size_t b);
    void connect(std::size_t a, std::size_t b);
    void disconnect(std::size_t a, std::size_t b);
    bool send(std::size_t from, std::size_t to, const wire::message& value);

    // Workers.
    template <class Result>
    void call_worker(
        std::size_t from, const fleet::worker_listing& worker,
        base::time_point send_by, bool is_order,
        std::function<void(worker_model&, std::function<void(Result)>)> execute,
        std::function<void(Result)> done, Result unsent, Result unanswered,
        milliseconds timeout);
    bool reaches(std::size_t from, const worker_entry& worker) const;
    void report_workers();
    void add_worker(const base::zone_id& zone);
    task_behaviour behaviour_of(const jobs::task_key& task);
    void list(const std::string& id, const worker_entry& worker);
    int places_for(std::int64_t cpu_milli) const;

    // Callers.
    void submit_job();
    void submit_standing_job();
    void submit(const std::string& id);
    void cancel(const std::string& id);
    std::size_t any_running_node();

    // Faults.
    void inject_fault();
    void inject_partition();
    void inject_restart_and_cut();
    void inject_departures();
    void inject_unannounced_loss();
    void inject_leader_fault();
    void slow_down_links();
    std::optional<std::string> pick_steady_worker();
    void announce_departure();
    void replace_worker(const base::zone_id& zone);
    void move_queue();
    void inject_moves();
    void inject_loss_while_moving();
    void leave(const std::string& id);
    void hand_over(std::size_t index);
    bool fault_lasts() const;
    void check_progress();
    milliseconds first_clock_of(const std::string& worker,
                                std::uint64_t life) const;
    void heal_partition();
    bool is_cut(const base::zone_id& a, const base::zone_id& b) const;
    bool reaches_store(const base::zone_id& zone) const;
    void end_faults();
    std::size_t pick_node();

    void run_until(base::time_point end);
    bool run_due();
    std::optional<base::time_point> next_due() const;
    bool all_jobs_finished() const;
    bool has_finished(const std::string& id,
                      const soak::submitted_job& job) const;
    void cancel_standing_jobs();
    void note(const std::string& text);

    simulation_options options_;
    virtual_time time_;
    store_model store_;
    std::vector<node> nodes_;
    std::map<link_key, link> links_;
    std::map<std::string, worker_entry> workers_;
    std::map<std::string, caller_job> jobs_;
    soak::history_checker checker_;
    standing_progress progress_;
    int next_job_ = 0;
    int next_worker_ = 0;
    int departures_ = 0;
    int catalogue_version_ = 1;
    // The zones that are cut off from the store and the other zones.
    std::set<std::string> cut_zones_;
    bool faults_over_ = false;
    int lapsed_ = 0;
    // Percentages of the calls to workers, while such a fault lasts.
    int late_orders_percent_ = 0;
    int lost_answers_percent_ = 0;
    // The daemon whose events run, for the history.
    std::string running_;
    std::vector<std::string> violations_;
    std::vector<std::string> history_;
};

} // namespace coltsfootrack::simulation

#endif
