#ifndef COLTSFOOTRACK_TEST_FLEET_FLEET_REPLAY_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_FLEET_FLEET_REPLAY_HPP_INCLUDED

#include <coltsfootrack/fleet/fleet.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::fleet
{

// A load pattern played against the decisions of a fleet in virtual time.
// Workers carry out every order at once and run each task for its estimate, or
// for the time that the job says; all of it is deterministic.
//
// Thread safety: none.
class fleet_replay
{
public:
    using milliseconds = std::chrono::milliseconds;

    // What became of a job.
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

    // Before the first job.
    void add_queue(const queue_policy& queue);
    void add_team(const team_policy& team);
    void add_worker(const std::string& id, const base::service_id& service,
                    const base::resources& capacity,
                    const std::string& rack = "r1");

    // Hands a job in at a time from the start of the replay.
    void submit(milliseconds at, const std::string& id,
                const std::string& queue, std::vector<jobs::step_spec> steps,
                const std::string& team = "");

    // The worker answers nothing from then on, and what runs there is lost.
    void lose_worker(milliseconds at, const std::string& id);

    // Tasks on this worker take so many times as long.
    void slow_worker(const std::string& id, double factor);

    // Plays until then.
    void run(milliseconds until);

    const std::map<std::string, outcome>& jobs() const
    {
        return outcomes_;
    }

    // The part of the jobs of a queue that were on time; 1 if there are none.
    double on_time(const std::string& queue) const;

    // Starts, and runs that were stopped before their end.
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
        // The progress at the start, and the time of the whole task.
        double saved = 0;
        milliseconds whole{0};
        bool checkpoints = false;
        std::optional<milliseconds> stops_at;
    };

    struct replayed_worker
    {
        worker_listing listing;
        std::map<jobs::task_key, replayed_run> runs;
        std::vector<run_end> ended;
        std::uint64_t next_end = 1;
        double factor = 1;
        std::optional<milliseconds> lost_at;
        bool changed = true;
        milliseconds reported{0};
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
    std::map<std::string, outcome> outcomes_;
    int starts_ = 0;
    int stops_ = 0;
};

} // namespace coltsfootrack::fleet

#endif
