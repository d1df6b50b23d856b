#ifndef COLTSFOOTRACK_TEST_FLEET_FLEET_REPLAY_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_FLEET_FLEET_REPLAY_HPP_INCLUDED

#include <coltsfootrack/fleet/fleet.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::fleet
{

// Replays a load pattern against a fleet in virtual time, deterministically.
// Workers execute every order at once and run each task for its estimate.
//
// Thread safety: none.
class fleet_replay
{
public:
    using milliseconds = std::chrono::milliseconds;

    // The outcome of a job.
    struct outcome
    {
        std::string queue;
        milliseconds submitted{0};
        milliseconds objective{0};
        std::optional<milliseconds> finished;
        jobs::job_state state = jobs::job_state::queued;

        bool on_time() const
        {
            return finished && state == jobs::job_state::completed &&
                   *finished - submitted <= objective;
        }
    };

    explicit fleet_replay(const fleet_options& options = {});

    // To be called before the first job.
    void add_queue(const queue_policy& queue);
    void add_team(const team_policy& team);
    void add_worker(const std::string& id, const base::service_id& service,
                    const base::resources& capacity,
                    const std::string& rack = "r1");

    // Submits a job at a time since the start of the replay.
    void submit(milliseconds at, const std::string& id,
                const std::string& queue, std::vector<jobs::step_spec> steps,
                const std::string& team = "");

    // The worker stops answering at that time, and its runs are lost.
    void lose_worker(milliseconds at, const std::string& id);

    // Multiplies the run time of the tasks on this worker.
    void slow_worker(const std::string& id, double factor);

    // A worker restarts under the same id, without its runs and state.
    void restart_worker(milliseconds at, const std::string& id);

    // The fate of a start order.
    enum class start_fate
    {
        carried_out,
        // Executed, but the answer is lost.
        unanswered,
        // Neither executed nor answered.
        lost
    };

    // Inject faults: whether a run fails at its end, and the fate of a start
    // order. Without them nothing fails.
    std::function<bool(const start_order&)> fails;
    std::function<start_fate(const start_order&)> fate;

    // Called for each start order before it is executed, and for each run end
    // when it is first reported to the fleet: a worker that restarts before
    // that loses its ends.
    std::function<void(const start_order&)> on_start;
    std::function<void(const base::worker_id&, const run_end&)> on_end;

    // Cancels a job at a time.
    void cancel(milliseconds at, const std::string& id);

    // Runs the replay until that time.
    void run(milliseconds until);

    // A run as its worker knows it.
    struct observed_run
    {
        std::string worker;
        jobs::task_key task;
        std::uint64_t run = 0;
        // Its worker is lost, and its lease has expired.
        bool lapsed = false;
    };

    // All runs on workers, including those that are being stopped.
    std::vector<observed_run> runs() const;

    const worker_listing& listing(const std::string& worker) const
    {
        return workers_.at(worker).listing;
    }

    milliseconds now() const
    {
        return now_;
    }

    const std::map<std::string, outcome>& jobs() const
    {
        return outcomes_;
    }

    // The fraction of the jobs of a queue that were on time; 1 if it has none.
    double on_time(const std::string& queue) const;

    // The number of start and stop orders.
    int starts() const
    {
        return starts_;
    }

    int stops() const
    {
        return stops_;
    }

private:
    struct replayed_run
    {
        std::uint64_t run = 0;
        milliseconds begun{0};
        milliseconds ends{0};
        // The progress at the start, and the run time of the whole task.
        double saved = 0;
        milliseconds whole{0};
        bool checkpoints = false;
        std::optional<milliseconds> stops_at;
        bool fails = false;
    };

    struct replayed_worker
    {
        worker_listing listing;
        std::map<jobs::task_key, replayed_run> runs;
        std::vector<run_end> ended;
        std::uint64_t next_end = 1;
        double factor = 1;
        std::optional<milliseconds> lost_at;
        std::optional<milliseconds> changed_at = milliseconds(0);
        // The last end that was reported to the fleet.
        std::uint64_t last_reported_end = 0;
        milliseconds reported{0};
        std::int64_t life = 1;
        // On the worker's clock, which is that of the replay.
        milliseconds lease_end{0};
        // The highest run number of each task that was stopped or ended here.
        std::map<jobs::task_key, std::uint64_t> highest;
    };

    struct arrival
    {
        std::string id;
        jobs::job_submission job;
    };

    base::time_point at(milliseconds time) const;
    std::chrono::system_clock::time_point wall(milliseconds time) const;
    void end_runs();
    void report();
    void take_arrivals();
    void note_change(replayed_worker& worker);
    bool is_lost(const replayed_worker& worker) const;
    void end_run(replayed_worker& worker, const run_end& end);
    void carry_out(const start_order& next);
    void carry_out(const stop_order& next);
    void carry_out(const pace_order& next);
    void carry_out(const ticket_order& next);
    void carry_out(const save_order& next);
    static double progress(const replayed_run& run, milliseconds now);

    std::shared_ptr<catalogue> catalogue_;
    fleet fleet_;
    milliseconds now_{0};
    std::multimap<milliseconds, arrival> arrivals_;
    std::map<std::string, replayed_worker> workers_;
    std::multimap<milliseconds, ticket_order> tickets_;
    std::multimap<milliseconds, std::function<void()>> events_;
    std::map<std::string, outcome> outcomes_;
    int starts_ = 0;
    int stops_ = 0;
};

} // namespace coltsfootrack::fleet

#endif
