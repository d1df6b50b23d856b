#ifndef COLTSFOOTRACK_TEST_CELL_LEADERSHIP_HARNESS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CELL_LEADERSHIP_HARNESS_HPP_INCLUDED

#include "fake_store.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/cell/leadership.hpp>

#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::cell
{

// Runs a leadership on its own control thread, with an in-memory store and
// workers that answer at once or not at all. There is one queue "q" on one
// service; a worker's row is empty and its key is the worker's id.
class leadership_harness
{
public:
    static constexpr std::size_t parts = 2;

    explicit leadership_harness(std::uint64_t epoch,
                                const cell_options& options = {});
    ~leadership_harness();

    leadership_harness(const leadership_harness&) = delete;
    leadership_harness& operator=(const leadership_harness&) = delete;

    // Call before begin() or inside run().
    void add_worker(const std::string& id, bool answers);
    void put_job(const std::string& id, std::uint64_t leader_epoch);

    // Adds a worker of a service that the catalogue does not name; it does not
    // answer.
    void add_worker_of_other_service(const std::string& id);

    // From now on the catalogue names that service. Call inside run().
    void name_other_service();

    // Jobs belong to a team that may use this much, in thousandths of a core.
    // Call before begin().
    void limit_team(std::int64_t cpu_milli);

    // Stores that a former leader has used a worker, which does not answer. It
    // is not listed unless add_worker() was called. Listed workers are of the
    // zone with the empty name.
    void put_used_worker(const std::string& id, const std::string& zone = "");

    // No worker has a daemon in its zone. Call before begin().
    void set_no_daemon_near()
    {
        daemon_near_ = false;
    }

    // From now on the reports of a worker list the end of the first task of a
    // job. Call inside run().
    void report_end(const std::string& worker, const std::string& job);

    // From now on the reports of a worker list a run of a job that is not
    // stored. Call inside run().
    void report_run(const std::string& worker);

    // Waits until the leader has read a report of a worker that it uses; false
    // if the limit passes.
    bool wait_reported(const std::string& worker,
                       std::chrono::milliseconds limit);

    // A worker does not answer any more; its row stays. Call inside run().
    void fall_silent(const std::string& worker)
    {
        unresponsive_.insert(worker);
    }

    // The leader is to hand over as planned. Call inside run().
    void prepare_hand_over()
    {
        leadership_->prepare_hand_over([this] { hand_over_ready_ = true; });
    }

    // Waits until the leader may be replaced; false if the limit passes.
    bool wait_hand_over(std::chrono::milliseconds limit);

    // Whether the writes of the part of a job are held back. Call inside run().
    void hold_writes(const std::string& job, bool held);

    // Whether two jobs are stored in the same part.
    bool same_part(const std::string& a, const std::string& b) const;

    // The renewals of a worker so far. Call inside run().
    int renewals(const std::string& worker) const
    {
        const auto found = renewal_counts_.find(worker);
        return found == renewal_counts_.end() ? 0 : found->second;
    }

    // A worker's row says that it is leaving; its row is gone, and it does not
    // answer any more. Call inside run().
    void announce_departure(const std::string& id);
    void remove_worker(const std::string& id);

    // Waits until a stored row names a worker; false if the limit passes.
    bool wait_stored(const std::string& id, std::chrono::milliseconds limit);

    // A worker that did not answer answers again. Call inside run().
    void answer_again(const std::string& id)
    {
        unresponsive_.erase(id);
    }

    // Waits until no stored row names a worker; false if the limit passes.
    bool wait_not_stored(const std::string& id,
                         std::chrono::milliseconds limit);

    // Whether a lease or a start was sent to a worker that no stored row named.
    // Call inside run().
    bool unstored_worker_used() const
    {
        return unstored_worker_used_;
    }

    // Stores that a caller who may cancel the jobs of a team, or those of an
    // open queue, has cancelled a job that was not stored. Call before begin()
    // or inside run().
    void put_early_cancel(const std::string& id, const cancel_right& right);

    // Waits until no cancellation of an unknown job is stored; false if the
    // limit passes.
    bool wait_no_early_cancel(const std::string& id, const cancel_right& right,
                              std::chrono::milliseconds limit);

    // The team that submits the jobs. Call before begin().
    void set_team(const std::string& team)
    {
        team_.team = base::team_id(team);
    }

    // Stores the progress of a completed job.
    void put_completed(const std::string& id);

    // Stores a completed job as the leader leaves it.
    void put_emptied(const std::string& id);

    // Waits until the row of a job is empty; false if the limit passes.
    bool wait_emptied(const std::string& job, std::chrono::milliseconds limit);

    // The state of a job as the leader tells callers.
    std::optional<jobs::job_state> state_of(const std::string& job);

    // Waits until the store has no rows of a job; false if the limit passes.
    bool wait_removed(const std::string& job, std::chrono::milliseconds limit);

    // The store names this epoch as that of the leader. Call inside run().
    void put_leader_row(std::uint64_t epoch);

    // Whether the store answers reads. Call inside run().
    void answer_reads(bool answered)
    {
        reads_answered_ = answered;
    }

    // The control thread stands still, as in a paused process.
    void pause(std::chrono::milliseconds length)
    {
        run([length] { std::this_thread::sleep_for(length); });
    }

    void begin();

    // Runs a function on the control thread and waits for it.
    template <class Action>
    void run(Action action)
    {
        std::promise<void> done;
        loop_.post(
            [&]
            {
                action();
                done.set_value();
            });
        done.get_future().wait();
    }

    // Notifies the leader of a job, as the peer that stored its row does.
    void send_job(const std::string& id, std::uint64_t leader_epoch);

    // Waits until a job has been started; false if the limit passes.
    bool wait_started(const std::string& job, std::chrono::milliseconds limit);

    // Waits until the leadership is lost; false if the limit passes.
    bool wait_lost(std::chrono::milliseconds limit);

    bool wait_loaded(std::chrono::milliseconds limit);

    // Sets the number of tasks of each job. Call before begin().
    void set_tasks(int tasks)
    {
        tasks_ = tasks;
    }

    // Sets the outcome of each start. Call before begin().
    void set_start_outcome(fleet::order_outcome outcome)
    {
        start_outcome_ = outcome;
    }

    // Whether the store's list of workers is complete, as it is by default.
    // Call before begin() or inside run().
    void set_list_complete(bool complete)
    {
        list_complete_ = complete;
    }

    // Whether the leader reaches neither the store nor most of the cell. Call
    // before begin() or inside run().
    void set_isolated(bool isolated)
    {
        isolated_ = isolated;
        if (isolated)
        {
            leadership_->on_isolated();
        }
    }

    // Leases granted by renewals so far. Call inside run().
    int leases() const
    {
        return leases_;
    }

    // Whether the list of workers can be read from the store. Call before
    // begin() or inside run().
    void set_list_readable(bool readable)
    {
        list_readable_ = readable;
    }

private:
    template <class Condition>
    bool wait_for(Condition condition, std::chrono::milliseconds limit);
    ports make_ports();
    void answer_follow(const std::string& table, std::uint64_t after,
                       int attempts, store_port::read_callback done);
    void commit();
    bool is_stored(const base::worker_id& worker) const;
    std::string job_row(std::uint64_t leader_epoch) const;
    void apply_catalogue();

    base::system_clock clock_;
    row_layout layout_;
    daemon::control_loop loop_;
    daemon::metrics metrics_;
    fake_store store_;
    std::set<std::string> unresponsive_;
    std::map<std::string, std::vector<fleet::run_end>> reported_ends_;
    std::map<std::string, std::vector<fleet::listed_run>> reported_runs_;
    bool hand_over_ready_ = false;
    bool daemon_near_ = true;
    std::map<std::string, int> renewal_counts_;
    std::set<std::size_t> held_parts_;
    std::vector<fleet::start_order> starts_;
    int tasks_ = 1;
    fleet::order_outcome start_outcome_ = fleet::order_outcome::carried_out;
    bool lost_ = false;
    bool list_complete_ = true;
    bool list_readable_ = true;
    bool isolated_ = false;
    bool reads_answered_ = true;
    int leases_ = 0;
    bool unstored_worker_used_ = false;
    fleet::team_policy team_;
    bool other_service_named_ = false;
    std::uint64_t catalogue_version_ = 0;
    ports ports_;
    std::vector<row_committer> committers_;
    std::unique_ptr<leadership> leadership_;
    std::thread thread_;
};

} // namespace coltsfootrack::cell

#endif
