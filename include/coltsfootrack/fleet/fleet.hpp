#ifndef COLTSFOOTRACK_FLEET_FLEET_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_FLEET_HPP_INCLUDED

#include <coltsfootrack/fleet/catalogue.hpp>
#include <coltsfootrack/fleet/fleet_options.hpp>
#include <coltsfootrack/fleet/job_record.hpp>
#include <coltsfootrack/fleet/order.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/service_round.hpp>
#include <coltsfootrack/fleet/share_limiter.hpp>
#include <coltsfootrack/fleet/ticket_grant.hpp>
#include <coltsfootrack/fleet/ticket_request_allowance.hpp>
#include <coltsfootrack/fleet/worker_listing.hpp>
#include <coltsfootrack/fleet/worker_record.hpp>
#include <coltsfootrack/fleet/worker_report.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfootrack::base
{

class log_list;

} // namespace coltsfootrack::base

namespace coltsfootrack::fleet
{

struct candidate;
struct place_on_worker;

// The leader's scheduler: decides which task runs on which worker, and tracks
// the state of jobs, runs and workers.
//
//     fleet scheduler(options, now);
//     scheduler.set_catalogue(catalogue);
//     scheduler.add_job(id, submission, {}, false, true, now, wall);
//     scheduler.list_worker(listing, now);
//     scheduler.on_report(worker, report, now);
//     for (const order& next : scheduler.run_round(now, wall, allowance))
//         send(next);
//
// A fleet lives for one epoch of one leader. A new leader creates a new fleet,
// adds the stored jobs as inherited, and starts their tasks on a service only
// once every worker of it has reported or can no longer hold a lease: until
// then, a task may be running on a worker that has not reported yet.
//
// The class does no I/O and reads no clock. The caller executes the orders and
// reports their outcomes.
//
// Thread safety: none; one thread at a time.
class fleet
{
public:
    using wall_time = std::chrono::system_clock::time_point;

    fleet(const fleet_options& options, base::time_point now);

    void set_catalogue(std::shared_ptr<const catalogue> value);

    // Adds a job; has no effect if it is known. `inherited`: a former leader
    // may have started tasks of it.
    void add_job(const base::job_id& id, const jobs::job_submission& submission,
                 const jobs::job_progress& progress, bool inherited,
                 base::time_point now, wall_time wall);

    // Cancels a job; has no effect if it is final. A job that is not known yet
    // is cancelled when it is added.
    void cancel_job(const base::job_id& id, base::time_point now);

    // A worker was added to the platform's list, or its entry changed.
    void list_worker(const worker_listing& listing, base::time_point now);

    // Workers that a former leader may have used. Those that are not listed are
    // kept like workers that have left the list.
    void expect_workers(const std::vector<worker_listing>& workers,
                        base::time_point now);

    // Whether nothing is running on a worker nor can be: it has reported in
    // full, each run that a report showed or an order may have started has
    // ended, and its ends are stored. False for an unknown worker.
    bool is_idle(const base::worker_id& worker) const;

    // While held, no task is started on a worker.
    void hold_starts(const base::worker_id& worker, bool held);

    // A worker is no longer on the list. It is kept while it answers and until
    // nothing can be running on it.
    void unlist_worker(const base::worker_id& worker);

    // Whether the list of workers is known to be complete; true by default.
    // While it is not, inherited jobs start nothing, since a worker that is not
    // listed yet may be running their tasks.
    void set_list_complete(bool complete);

    // A lease renewal was answered.
    void on_report(const base::worker_id& worker, const worker_report& report,
                   base::time_point now);

    // A lease renewal that was sent at `sent` was not answered. `confirmed` if
    // a daemon in the worker's zone got no answer either.
    void on_renewal_failed(const base::worker_id& worker, base::time_point sent,
                           bool confirmed);

    // Another worker answers at its address, so this one is gone, and its runs
    // with it.
    void on_replaced(const base::worker_id& worker);

    // Whether a start order to this worker was not answered, and no report
    // since then lists the run or its end.
    bool has_uncertain_start(const base::worker_id& worker) const;

    void on_start(const base::worker_id& worker, const jobs::task_key& task,
                  std::uint64_t run, order_outcome outcome,
                  base::time_point now);

    void on_stop(const base::worker_id& worker, const jobs::task_key& task,
                 std::uint64_t run, order_outcome outcome,
                 base::time_point now);

    // A ticket request completed: the workers that it named, and those that may
    // run the step. `grants` is empty if the request failed.
    void on_tickets(const jobs::step_key& step,
                    const std::vector<base::worker_id>& asked,
                    const std::optional<std::vector<ticket_grant>>& grants,
                    base::time_point valid_until);

    // The progress of a job was stored, up to and including this change.
    void on_saved(const base::job_id& job, std::uint64_t change,
                  base::time_point now);

    // A store failure: the next round orders the save again.
    void on_save_failed(const base::job_id& job);

    // The store will never take the progress of a job, so that it cannot be
    // carried to its end: it fails.
    void on_save_rejected(const base::job_id& job, base::time_point now);

    // At most `limit` jobs whose final state was stored, or loaded at the
    // takeover, before this time; oldest first.
    std::vector<base::job_id> finished_before(base::time_point time,
                                              std::size_t limit) const;

    // Removes a final job whose rows have been deleted.
    void forget_job(const base::job_id& id);

    // Runs one scheduling round. The allowance limits the ticket requests.
    std::vector<order> run_round(base::time_point now, wall_time wall,
                                 ticket_request_allowance allowance);

    // Grants a lease with the next renewal or start order, and returns its end
    // on the worker's clock. Nothing before the first report, and for an
    // unresponsive worker, so that its lease expires.
    std::optional<std::chrono::milliseconds>
    grant_lease(const base::worker_id& worker, base::time_point now);

    // Whether a start order has no outcome yet, and its run is neither listed
    // nor to be stopped.
    bool awaits_start(const base::worker_id& worker, const jobs::task_key& task,
                      std::uint64_t run) const;

    // The run ends up to this number are stored, and the worker may forget
    // them. 0 while the worker may have restarted and numbers others like them.
    std::uint64_t acknowledged(const base::worker_id& worker) const;

    // The run ends of the last known life of a worker up to this number are
    // stored.
    std::uint64_t stored_ends(const base::worker_id& worker) const;

    // A worker answered an order that was sent at `sent` with this clock.
    // Returns whether the clock shows that it has restarted since its last
    // report.
    bool on_clock(const base::worker_id& worker,
                  std::chrono::milliseconds clock, base::time_point sent,
                  base::time_point now);

    // The state to report to callers; nothing if the job is not known.
    std::optional<jobs::job_state> state_of(const base::job_id& job) const;

    // The number of jobs of each queue of which no task has started.
    std::map<std::string, int> waiting_counts() const;

    // How many standing tasks had no run at the last check, as far as the
    // workers have answered.
    std::size_t standing_tasks_without_run() const
    {
        return standing_gaps_.size();
    }

    // Whether nothing can be running on a known worker any more because of its
    // lease.
    bool lease_expired(const base::worker_id& worker,
                       base::time_point now) const;

    // Whether a worker is listed or may still be running something.
    bool has_worker(const base::worker_id& worker) const;

    const std::map<base::worker_id, worker_record>& workers() const
    {
        return workers_;
    }

    const std::map<base::job_id, job_record>& jobs() const
    {
        return jobs_;
    }

    // The usage of a team, including runs that are being stopped.
    base::resources usage_of(const base::team_id& team) const;

private:
    using stoppable_run =
        std::pair<worker_record*, worker_record::run_map::iterator>;

    // The runs to preempt so that the limit of a team allows some tasks.
    struct limit_plan
    {
        int tasks = 0;
        std::vector<stoppable_run> stops;
    };

    // The runs to preempt so that tasks of a step have room: how many tasks,
    // the runs, and what they free on each worker, by worker_record::number.
    struct room_plan
    {
        int tasks = 0;
        std::vector<stoppable_run> stops;
        std::set<const active_run*> chosen;
        std::map<int, base::resources> freed;
    };

    // Jobs.
    job_record* find_job(const base::job_id& id);
    step_record* find_step(const jobs::step_key& key);
    task_record* find_task(const jobs::task_key& key);
    const jobs::step_spec& spec_of(const job_record& job, int step) const;
    void mark_changed(job_record& job);
    void finish_job(job_record& job, jobs::job_state state,
                    base::time_point now);
    void create_due_occurrences(job_record& job, wall_time wall);
    void create_occurrence(job_record& job, int occurrence);
    void expect_occurrence(const jobs::step_key& key);
    void finish_occurrence(job_record& job, int occurrence);
    void check_completed(job_record& job, base::time_point now);
    void adopt_orphans(const base::job_id& id, base::time_point now);
    std::string progress_text(const job_record& job) const;
    void set_deadlines(job_record& job);

    // Runs.
    using run_map = worker_record::run_map;
    active_run& add_run(worker_record& worker, const jobs::task_key& task,
                        std::uint64_t run, run_phase phase,
                        base::time_point now);
    void note_started(const jobs::task_key& task);
    void attach(worker_record& worker, const jobs::task_key& task,
                active_run& run, task_record& record);
    void account_orphan(worker_record& worker, const jobs::task_key& task,
                        active_run& run);
    run_map::iterator drop_run(worker_record& worker, run_map::iterator run);
    void drop_runs_of_previous_life(worker_record& worker,
                                    const worker_report& report,
                                    base::time_point now);
    void drop_all_runs(worker_record& worker);
    static bool may_be_in_later_life(const worker_record& worker,
                                     const active_run& run);
    void drop_lost_runs(worker_record& worker, bool lost_in_any_life);
    bool has_lapsed(const worker_record& worker, const active_run& run,
                    base::time_point now) const;
    void drop_expired_standing_runs(worker_record& worker,
                                    base::time_point now);
    void process_running(worker_record& worker, const worker_report& report,
                         base::time_point now);
    bool process_ended(worker_record& worker, const worker_report& report,
                       base::time_point now);
    void process_missing(worker_record& worker, const worker_report& report);
    void apply_end(worker_record& worker, const run_end& end,
                   base::log_list& line, base::time_point now);
    void apply_done(job_record& job, const jobs::task_key& task);
    void apply_failure(job_record& job, const run_end& end,
                       base::time_point now);
    void note_done(worker_record& worker) const;
    void note_failure(worker_record& worker, const jobs::task_key& task,
                      base::time_point ordered_at, base::time_point now);
    bool blames_worker(const jobs::task_key& task);
    void quarantine_if_failing(worker_record& worker, base::time_point now);
    void end_unfounded_quarantine(worker_record& worker, base::time_point now);
    void release_excess_quarantines(
        std::map<base::service_id, std::vector<worker_record*>>& usable,
        base::time_point now);
    void advance_acknowledged(worker_record& worker);
    void request_stop(worker_record& worker, active_run& run);
    void clear_stop(worker_record& worker, active_run& run);

    // Parts of a round.
    bool lease_expired(const worker_record& worker,
                       base::time_point time) const;
    bool is_lost(const worker_record& worker) const;
    bool is_lost_in_any_life(const worker_record& worker) const;
    base::duration unconfirmed_loss_delay(const worker_record& worker) const;
    void update_workers(base::time_point now);
    void retry_stops(worker_record& worker, base::time_point now);
    void update_jobs(base::time_point now, wall_time wall);
    void order_stops(base::time_point now, std::vector<order>& orders);
    void order_saves(std::vector<order>& orders);
    void order_pacing(base::time_point now, std::vector<order>& orders);
    void stop_stalled(base::time_point now);
    base::duration stall_limit(const active_run& run,
                               const jobs::task_key& key);
    static void note_progress(worker_record& worker, active_run& run,
                              int percent, base::time_point now);
    void stop_broken_gang(const jobs::step_key& key, const step_record& step);

    // Waiting steps.
    static bool step_ready(const std::vector<step_record>& steps,
                           const jobs::step_spec& spec);
    bool step_ready_soon(const job_record& job,
                         const std::vector<step_record>& steps,
                         const jobs::step_spec& spec, const queue_policy& queue,
                         base::time_point now) const;
    bool may_run_unseen(const job_record& job,
                        const jobs::step_spec& spec) const;
    bool is_service_stored(job_record& job);
    void log_moving_jobs(const std::vector<const job_record*>& moving);
    void log_unseen_workers(base::time_point now);
    void charge_share(job_record& job);
    std::vector<candidate> candidates(base::time_point now);
    void add_candidates(job_record& job, service_round& round,
                        base::time_point now,
                        std::vector<candidate>& found) const;

    // Standing tasks.
    std::string_view standing_task_waits_for(const job_record& job,
                                             const candidate* waiting,
                                             const jobs::task_key& key,
                                             const task_record& task,
                                             base::time_point now) const;
    void check_standing_tasks(const std::vector<candidate>& waiting,
                              base::time_point now);
    void
    log_standing_gaps(const std::map<jobs::task_key, base::time_point>& former,
                      const std::map<std::string_view, int>& causes,
                      base::time_point now) const;

    // Tasks of workers that leave.
    void collect_departing(const worker_record& worker);
    void apply_held_places(std::vector<candidate>& waiting,
                           base::time_point now);
    int tasks_moving_to(const worker_record& worker,
                        const jobs::step_key& step) const;
    void move_departing(std::vector<candidate>& waiting, base::time_point now);
    void move_run(const candidate& next, int index, worker_record& place);

    // Placement.
    void start_tasks(std::vector<candidate>& waiting, base::time_point now,
                     std::vector<order>& orders);
    bool start_single(candidate& next, base::time_point now,
                      std::vector<order>& orders);
    int count_places(const candidate& next,
                     const std::vector<worker_record*>& workers,
                     int most) const;
    bool start_gang(candidate& next, base::time_point now,
                    std::vector<order>& orders);
    worker_record* cheapest_place(const candidate& next, int index,
                                  base::time_point now) const;
    bool matches_label(const worker_record& worker,
                       const candidate& next) const;
    bool has_room(const worker_record& worker, const candidate& next) const;
    bool has_ticket(const worker_record& worker, const candidate& next,
                    base::time_point now) const;
    bool within_limit(const candidate& next, int count) const;
    base::resources room_reserved_by_others(const worker_record& worker,
                                            const candidate& next) const;
    static place_on_worker place_held_for_others(const worker_record& worker,
                                                 const candidate& next);
    base::resources limit_claimed_by_others(const candidate& next) const;
    double cost_of(const worker_record& worker, const candidate& next) const;
    void order_start(const candidate& next, int index, worker_record& worker,
                     std::uint64_t run, base::time_point now,
                     std::vector<order>& orders);
    int tasks_on(const worker_record& worker, const jobs::step_key& step) const;
    bool below_limit_per_worker(const worker_record& worker,
                                const candidate& next, int planned) const;
    void reserve_workers(const candidate& next);
    void collect_lasting_usage(service_round& round) const;
    bool lasts(const active_run& run) const;
    int places_soon(const worker_record& worker, const candidate& next,
                    int most) const;
    void find_schedulable_workers(base::time_point now);
    void collect_lapsed_usage(const worker_record& worker,
                              base::time_point now);
    base::resources limited_usage(const base::team_id& team) const;
    void find_eligible_workers(candidate& next) const;
    bool may_have_room(const candidate& next) const;
    bool any_room(const candidate& next) const;
    bool any_fresh_ticket(const candidate& next, base::time_point now) const;
    bool any_room_without_ticket(const candidate& next,
                                 base::time_point now) const;

    // Preemption.
    void make_room(candidate& next, base::time_point now);
    bool may_make_room(const candidate& next, int tasks) const;
    bool plan_place(candidate& next, room_plan& plan);
    void drop_places(candidate& next);
    void preempt(const candidate& next, const room_plan& plan);
    limit_plan plan_limit(const candidate& next, int tasks,
                          base::time_point now);
    void claim_limit(candidate& next, const limit_plan& plan);
    void collect_victims(service_round& round, base::time_point now);

    // Tickets.
    void order_tickets(std::vector<candidate>& waiting, base::time_point now,
                       ticket_request_allowance allowance,
                       std::vector<order>& orders);
    std::vector<base::worker_id> workers_to_ask(const candidate& next) const;

    // A place on a worker, and the part of the limit of its team, for a
    // standing task that moves there. `room` counts against the worker's
    // capacity and `leftover`, in thousandths of a core, against what that
    // leaves; `need` counts against the limit.
    struct held_place
    {
        base::worker_id worker;
        // The worker that the task leaves.
        base::worker_id former;
        base::team_id team;
        base::resources need;
        base::resources room;
        std::int64_t leftover = 0;
        // Set once the former run has ended.
        std::optional<base::time_point> until;
    };

    fleet_options options_;
    bool list_complete_ = true;
    // When this leader fenced off its predecessors.
    base::time_point leader_since_;
    std::shared_ptr<const catalogue> catalogue_;
    std::map<base::worker_id, worker_record> workers_;
    // Indexed by worker_record::number; null once the worker is removed.
    std::vector<worker_record*> workers_by_number_;
    std::map<base::job_id, job_record> jobs_;
    // The jobs that are not in a final state.
    std::map<base::job_id, job_record*> open_jobs_;
    std::map<base::job_id, base::time_point> early_cancels_;
    std::map<base::team_id, base::resources> usage_;
    // The part of usage_ held by runs that are being stopped.
    std::map<base::team_id, base::resources> stopping_usage_;
    std::map<base::job_id, bool> unsaved_jobs_;
    // Final jobs whose state is stored, in the order of finished_at.
    std::deque<base::job_id> finished_;
    base::time_point stalls_checked_at_;
    // The standing tasks that had no run at the last check, and since when.
    std::map<jobs::task_key, base::time_point> standing_gaps_;
    base::time_point standing_checked_at_;
    std::map<base::team_id, share_limiter> shares_;
    // The places of standing tasks that are being stopped on a worker which
    // leaves, or have been and have not started again.
    std::map<jobs::task_key, held_place> held_places_;
    // For the current round: the standing tasks on workers that leave.
    std::map<jobs::step_key, std::vector<int>> departing_;
    // For the current round: the state of each service, and what earlier steps
    // have claimed of the limits of teams.
    std::map<base::service_id, service_round> rounds_;
    std::map<base::team_id, base::resources> claimed_limits_;
    // For the current round: the part of usage_ held by runs that have ended
    // with their lease, though their worker has not said so.
    std::map<base::team_id, base::resources> lapsed_usage_;
    // The jobs of the last round that waited since their queue has moved, and
    // the number of workers that inherited jobs waited for.
    std::size_t moving_jobs_ = 0;
    std::size_t unseen_workers_ = 0;
    // For the current round: an upper bound on what any team may be running on
    // workers whose runs are not known.
    base::resources unknown_usage_;
};

} // namespace coltsfootrack::fleet

#endif
