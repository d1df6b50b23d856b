#ifndef COLTSFOOTRACK_CELL_LEADERSHIP_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_LEADERSHIP_HPP_INCLUDED

#include <coltsfootrack/cell/cell_options.hpp>
#include <coltsfootrack/cell/departure_detector.hpp>
#include <coltsfootrack/cell/pause_detector.hpp>
#include <coltsfootrack/cell/ports.hpp>
#include <coltsfootrack/cell/row_committer.hpp>
#include <coltsfootrack/cell/row_layout.hpp>
#include <coltsfootrack/cell/table_follower.hpp>
#include <coltsfootrack/cell/worker_roster.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::cell
{

// The work of a leader during one epoch: takes over the stored jobs, follows
// the jobs and workers, carries out the orders of the fleet, and renews leases.
//
// It first writes its epoch into every job part, after which no former leader
// can store progress there, and only then reads the jobs. Each worker refuses
// the orders of a former leader once this one has renewed its lease there. The
// workers that a former leader may have used are stored as well: those that the
// platform no longer lists may still be running tasks.
//
// Thread safety: belongs to the control thread.
class leadership
{
public:
    struct hooks
    {
        // Another leader has a higher epoch. Called at most once, and never
        // from within a function of this class.
        std::function<void(const std::string& reason)> on_lost;
        // The committer of a job part.
        std::function<row_committer&(std::size_t part)> committer;
        // Sends the transactions that are due in the committers.
        std::function<void()> commit;
        std::function<fleet::ticket_request_allowance()>
            ticket_request_allowance;
        // Requests tickets, from this daemon or through a peer.
        std::function<void(
            const fleet::ticket_order&,
            std::function<void(
                std::optional<std::vector<fleet::ticket_grant>>)>)>
            ask_tickets;
        // Whether the store has answered long enough for its list of workers
        // to be complete again after an outage. Optional; true without it.
        std::function<bool()> list_complete;
        // Whether this daemon reaches neither the store nor every daemon of
        // the cell, so that there may be another leader that it does not know
        // of. It then grants no lease. Optional; false without it.
        std::function<bool()> isolated;
        // Called with true after each answer of the store, and with false
        // after each failure.
        std::function<void(bool)> on_store;
    };

    leadership(daemon::control_loop& loop, const base::clock& clock,
               const cell_options& options, const ports& cell_ports,
               const row_layout& layout, daemon::metrics& metrics,
               std::uint64_t epoch, hooks callbacks);

    ~leadership();

    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    // Starts the takeover.
    void begin();

    void set_catalogue(std::shared_ptr<const fleet::catalogue> value);

    // The hook `isolated` has become true. Another leader may have taken over,
    // and the next answer of the store need not tell: nothing is ordered and no
    // lease granted before the leader row was read, or every daemon reached.
    void on_isolated();

    // A daemon has stored a job or a cancellation.
    void on_job(const base::job_id& id, const std::string& row);
    void on_cancel(const base::job_id& id);

    // Makes a planned change of leaders quick: idle workers that do not answer
    // now are not stored any more, so that the next leader does not wait for
    // them. Calls `ready` once, unless the leadership ends before.
    void prepare_hand_over(std::function<void()> ready);

    // Whether the jobs are loaded.
    bool loaded() const
    {
        return loaded_;
    }

    // Whether a start that was ordered is still to be carried out: it has no
    // outcome yet, the run is neither listed nor to be stopped, and the leader
    // was not paused.
    bool awaits_start(const base::worker_id& worker, const jobs::task_key& task,
                      std::uint64_t run) const
    {
        return !pauses_.paused(clock_.now()) &&
               fleet_.awaits_start(worker, task, run);
    }

    std::optional<jobs::job_state> state_of(const base::job_id& job) const;

    std::map<std::string, int> waiting_counts() const;

    std::uint64_t epoch() const
    {
        return options_.fleet.epoch;
    }

    // Schedules a round, no sooner than the minimum interval allows.
    void request_round();

private:
    struct renewal_state
    {
        bool in_flight = false;
        base::time_point next_at;
        // The ends acknowledged by the last renewal.
        std::uint64_t acknowledged = 0;
        // A probe, which does not wait for an end, is in flight as well.
        bool probing = false;
    };

    // A listed worker that no stored row names yet.
    struct unstored_worker
    {
        fleet::worker_listing listing;
        // Has answered this leader.
        bool answered = false;
        bool probing = false;
        base::time_point next_at;
    };

    // A planned change of leaders that is being prepared.
    struct hand_over
    {
        explicit hand_over(std::function<void()> on_ready)
            : ready(std::move(on_ready))
        {
        }

        // The idle workers that have not answered since.
        std::set<base::worker_id> silent;
        // Those are withdrawn, and stored no more once the rows are written.
        bool withdrawn = false;
        std::function<void()> ready;
    };

    // A cancellation that was stored when its job was not.
    struct early_cancel
    {
        cancel_right right;
        // When this leader learnt of it.
        base::time_point seen_at;
    };

    // A start to be logged. The outcome matters only if it was not confirmed.
    struct ordered_start
    {
        jobs::task_key task;
        std::uint64_t run = 0;
        base::worker_id worker;
        fleet::order_outcome outcome = fleet::order_outcome::carried_out;
    };

    void fence_part(std::size_t part);
    void write_fence(std::size_t part, std::uint64_t version);
    void on_part_fenced(std::size_t part, std::uint64_t version);
    void load_progress();
    void apply_progress_row(std::size_t part, const stored_row& row);
    std::int64_t takeover_ms() const;
    void load_roster(std::size_t part, const stored_row& row);
    void expect_stored_workers();
    void follow_jobs();
    void follow_workers();
    void add_stored_job(const base::job_id& id, const std::string& row);
    void apply_job_rows(const std::vector<stored_row>& rows);
    void apply_worker_rows(const std::vector<stored_row>& rows,
                           bool is_snapshot);
    bool names_service(const base::service_id& service) const;
    void list_worker(const fleet::worker_listing& listing);
    void unlist_worker(const base::worker_id& id);
    void probe_unstored_workers();
    void on_unstored_answer(const base::worker_id& id,
                            fleet::order_outcome outcome);
    void list_stored_workers();
    void write_roster();
    void run_round();
    void carry_out(const fleet::start_order& order);
    void record_unconfirmed(ordered_start start);
    static void log_starts(std::vector<ordered_start>& starts, bool outcomes);
    void carry_out(const fleet::stop_order& order);
    void carry_out(const fleet::pace_order& order);
    void carry_out(const fleet::ticket_order& order);
    void carry_out(const fleet::save_order& order);
    void note_early_cancel(const base::job_id& id, const stored_row& row);
    void apply_early_cancels(const base::job_id& id);
    void remove_early_cancels();
    void remove_early_cancels(std::size_t part, std::vector<row_id> rows);
    void empty_final_job(const base::job_id& id);
    void remove_final_jobs();
    void remove_rows(std::size_t part, std::vector<base::job_id> ids);
    std::optional<std::chrono::milliseconds>
    grant_lease(const base::worker_id& worker);
    // Reads the leader row after a pause, and goes on or steps down.
    void confirm_leadership();
    void read_leader_row();
    void on_leader_row(const read_result& result, base::time_point sent);
    bool peers_confirm() const;
    void acknowledge_ends();
    // The same for one worker; returns whether it has ends to forget.
    bool acknowledge_ends(const base::worker_id& worker, renewal_state& state);
    void remove_departed(const base::worker_id& id);
    void log_removal(const base::worker_id& id, bool left) const;
    void withdraw_idle_worker(const base::worker_id& id);
    void reuse_stored_workers();
    void note_answer(const base::worker_id& id);
    void withdraw_silent_workers();
    void check_hand_over();
    void renew_all();
    void renew(const base::worker_id& id, renewal_state& state);
    void probe_worker(const base::worker_id& id);
    void check_way_to(const fleet::worker_record& silent);
    bool is_silence_confirmed(const fleet::worker_record& worker,
                              const renewal_result& result) const;
    std::chrono::milliseconds renewal_wait() const;
    void on_renewed(const base::worker_id& id, const renewal_result& result);
    // The kinds of calls to workers, for the metrics.
    enum class call_kind
    {
        start,
        stop,
        pace,
        renewal,
        probe
    };

    void record_outcome(call_kind call, fleet::order_outcome outcome,
                        const base::worker_id& worker);
    void register_metrics();
    void count_workers();
    void clear_worker_counts();
    void report_lost(const std::string& reason);
    // Wraps an action so that it does nothing once this object is destroyed.
    std::function<void()> guarded(std::function<void()> action) const;

    // The same for a callback, which is also posted to the control thread.
    template <class Result>
    std::function<void(Result)>
    posted(std::function<void(Result)> action) const;

    daemon::control_loop& loop_;
    const base::clock& clock_;
    cell_options options_;
    const ports& ports_;
    const row_layout& layout_;
    daemon::metrics& metrics_;
    // Indexed by call_kind and outcome.
    std::array<std::array<prometheus::Counter*, fleet::order_outcome_count>, 5>
        worker_calls_{};
    hooks hooks_;
    fleet::fleet fleet_;
    base::time_point begun_at_;
    std::size_t parts_fenced_ = 0;
    std::unique_ptr<table_reader> progress_reader_;
    std::map<base::job_id, jobs::job_progress> loaded_progress_;
    std::unique_ptr<table_follower> job_follower_;
    std::unique_ptr<table_follower> worker_follower_;
    // The versions of the rows of jobs that are not final.
    std::map<base::job_id, std::uint64_t> job_versions_;
    // By job and row. Daemons limit how many they store.
    std::map<base::job_id, std::map<row_id, early_cancel>> early_cancel_rows_;
    worker_roster roster_;
    departure_detector departures_;
    // The catalogue in force. Workers of a service that it does not name are
    // not asked for an answer.
    std::shared_ptr<const fleet::catalogue> catalogue_;
    // Not used until a stored row names them.
    std::map<base::worker_id, unstored_worker> unstored_workers_;
    std::map<base::worker_id, renewal_state> renewals_;
    // When the newest call was sent to each zone that a worker there has
    // answered, of those that check_way_to made; and their number.
    std::map<base::zone_id, base::time_point> way_checked_;
    std::size_t way_checks_ = 0;
    // Idle workers that were taken out of the stored ones, and get no tasks
    // until they are stored again.
    std::set<base::worker_id> withdrawn_workers_;
    std::optional<hand_over> hand_over_;
    // What daemons stored before the jobs were loaded.
    std::map<base::job_id, std::string> early_jobs_;
    std::vector<base::job_id> early_cancels_;
    bool loaded_ = false;
    // The whole list of workers was read.
    bool list_read_ = false;
    bool list_complete_ = false;
    bool lost_ = false;
    bool round_requested_ = false;
    // To be logged: the starts of this round, and those that were reported as
    // not confirmed in this turn of the loop.
    std::vector<ordered_start> ordered_starts_;
    std::vector<ordered_start> unconfirmed_starts_;
    base::time_point last_round_;
    base::duration last_round_time_{0};
    pause_detector pauses_;
    // Since when the leader row is being read after a pause.
    std::optional<base::time_point> resumed_at_;
    // By part: whether a removal of rows is in flight.
    std::vector<bool> removing_;
    std::shared_ptr<bool> alive_;
};

template <class Result>
std::function<void(Result)>
leadership::posted(std::function<void(Result)> action) const
{
    return [&loop = loop_, alive = std::weak_ptr<bool>(alive_),
            action = std::move(action)](Result result)
    {
        loop.post(
            [alive, action, result = std::move(result)]
            {
                if (!alive.expired())
                {
                    action(result);
                }
            });
    };
}

} // namespace coltsfootrack::cell

#endif
