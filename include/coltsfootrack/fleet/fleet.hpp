#ifndef COLTSFOOTRACK_FLEET_FLEET_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_FLEET_HPP_INCLUDED

#include <coltsfootrack/fleet/catalogue.hpp>
#include <coltsfootrack/fleet/fleet_options.hpp>
#include <coltsfootrack/fleet/job_record.hpp>
#include <coltsfootrack/fleet/order.hpp>
#include <coltsfootrack/fleet/order_outcome.hpp>
#include <coltsfootrack/fleet/service_round.hpp>
#include <coltsfootrack/fleet/share_meter.hpp>
#include <coltsfootrack/fleet/ticket_grant.hpp>
#include <coltsfootrack/fleet/ticket_slots.hpp>
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
#include <utility>
#include <vector>

namespace coltsfootrack::base
{

class log_list;

} // namespace coltsfootrack::base

namespace coltsfootrack::fleet
{

struct candidate;

// The decisions of the leader: which task runs where, and what is known of it.
//
//     fleet scheduler(options, now);
//     scheduler.set_catalogue(catalogue);
//     scheduler.add_job(id, submission, {}, false, true, now, wall);
//     scheduler.list_worker(listing, now);
//     scheduler.on_report(worker, report, now);
//     for (const order& next : scheduler.step(now, wall, slots)) send(next);
//
// A fleet lives for one epoch of one leader. A new leader makes a new fleet,
// adds the stored jobs as inherited, and starts their tasks on a service only
// when every worker of it has reported or can hold no lease: until then a task
// may be running where nobody has looked.
//
// The class does no input or output and reads no clock. The caller carries the
// orders out and reports what became of them.
//
// Thread safety: none; one thread at a time.
class fleet
{
public:
    using wall_time = std::chrono::system_clock::time_point;

    fleet(const fleet_options& options, base::time_point now);

    void set_catalogue(std::shared_ptr<const catalogue> value);

    // Adds a job, or nothing if it is known. `inherited` says that a former
    // leader may have started tasks of it.
    void add_job(const base::job_id& id, const jobs::job_submission& submission,
                 const jobs::job_progress& progress, bool inherited,
                 base::time_point now, wall_time wall);

    // Cancels a job; has no effect if it is final. A job that is not known yet
    // is cancelled when it is added.
    void cancel_job(const base::job_id& id, base::time_point now);

    // A worker appeared on the platform's list, or its entry changed.
    void list_worker(const worker_listing& listing, base::time_point now);

    // A worker is no longer on the list. It is kept while it answers, and
    // until nothing can run there.
    void unlist_worker(const base::worker_id& worker);

    // Whether the list of workers is known to be complete; it is unless told
    // otherwise. Until then inherited jobs start nothing, since a worker that
    // is not listed yet may have run their tasks.
    void set_list_complete(bool complete);

    // A renewal was answered.
    void on_report(const base::worker_id& worker, const worker_report& report,
                   base::time_point now);

    // A renewal that was sent at `sent` was not answered.
    void on_renewal_failed(const base::worker_id& worker,
                           base::time_point sent);

    // Another worker answers at its address, so this one has ended, with all
    // that ran there.
    void on_replaced(const base::worker_id& worker);

    // Whether it is open what became of a run on a worker: the order to start
    // it was not answered, and no report since then shows it or its end.
    bool has_uncertain_start(const base::worker_id& worker) const;

    void on_start(const base::worker_id& worker, const jobs::task_key& task,
                  std::uint64_t run, order_outcome outcome,
                  base::time_point now);

    void on_stop(const base::worker_id& worker, const jobs::task_key& task,
                 std::uint64_t run, order_outcome outcome,
                 base::time_point now);

    // A request for tickets was answered: the workers that were named, and
    // those that may run the step. Nothing in `grants` if it failed.
    void on_tickets(const jobs::step_key& step,
                    const std::vector<base::worker_id>& asked,
                    const std::optional<std::vector<ticket_grant>>& grants,
                    base::time_point valid_until);

    // The progress of a job was stored up to this change.
    void on_saved(const base::job_id& job, std::uint64_t change,
                  base::time_point now);

    // A store failure: the progress is ordered again by the next step.
    void on_save_failed(const base::job_id& job);

    // At most `limit` jobs whose final state was stored before this time, or
    // was known at the takeover; the oldest first.
    std::vector<base::job_id> finished_before(base::time_point time,
                                              std::size_t limit) const;

    // Forgets a final job: its rows are removed.
    void forget_job(const base::job_id& id);

    // Decides. Requests for tickets are ordered as far as the slots allow.
    std::vector<order> step(base::time_point now, wall_time wall,
                            ticket_slots slots);

    // The end of the lease to grant to a worker with the next renewal or
    // start, on the worker's clock. Nothing before its first report, and for
    // one that does not answer, so that its lease passes.
    std::optional<std::chrono::milliseconds>
    grant_lease(const base::worker_id& worker, base::time_point now);

    // The ends of a worker up to this number are stored.
    std::uint64_t acknowledged(const base::worker_id& worker) const;

    // The state that callers may be shown; nothing if the job is not known.
    std::optional<jobs::job_state> state_of(const base::job_id& job) const;

    // The accepted jobs of each queue of which no task has started.
    std::map<std::string, int> waiting_counts() const;

    // Whether a worker may still run something or is listed.
    bool has_worker(const base::worker_id& worker) const;

    const std::map<base::worker_id, worker_record>& workers() const
    {
        return workers_;
    }

    const std::map<base::job_id, job_record>& jobs() const
    {
        return jobs_;
    }

    // What a team has running, and what is being stopped.
    base::resources usage_of(const base::team_id& team) const;

private:
    using stoppable_run =
        std::pair<worker_record*, worker_record::run_map::iterator>;

    // What has to be stopped so that the limit of a team allows some tasks.
    struct limit_plan
    {
        int tasks = 0;
        std::vector<stoppable_run> stops;
    };

    // Jobs.
    job_record* find_job(const base::job_id& id);
    step_record* find_step(const jobs::step_key& key);
    task_record* find_task(const jobs::task_key& key);
    const jobs::step_spec& spec_of(const job_record& job, int step) const;
    void mark_changed(job_record& job);
    void finish_job(job_record& job, jobs::job_state state,
                    base::time_point now);
    void open_occurrences(job_record& job, wall_time wall);
    void open_occurrence(job_record& job, int occurrence);
    void check_completed(job_record& job, base::time_point now);
    void adopt_strays(const base::job_id& id, base::time_point now);
    std::string progress_text(const job_record& job) const;
    void set_deadlines(job_record& job);

    // Runs.
    using run_map = worker_record::run_map;
    active_run& add_run(worker_record& worker, const jobs::task_key& task,
                        std::uint64_t run, run_phase phase,
                        base::time_point now);
    void attach(worker_record& worker, const jobs::task_key& task,
                active_run& run, task_record& record);
    void measure_stray(worker_record& worker, const jobs::task_key& task,
                       active_run& run);
    run_map::iterator drop_run(worker_record& worker, run_map::iterator run);
    void lose_former_life(worker_record& worker, const worker_report& report,
                          base::time_point now);
    void lose_all(worker_record& worker);
    void read_running(worker_record& worker, const worker_report& report,
                      base::time_point now);
    bool read_ended(worker_record& worker, const worker_report& report,
                    base::time_point now);
    void read_missing(worker_record& worker, const worker_report& report);
    void apply_end(worker_record& worker, const run_end& end,
                   base::log_list& line, base::time_point now);
    void apply_done(job_record& job, const jobs::task_key& task);
    void apply_failure(job_record& job, const run_end& end,
                       base::time_point now);
    void note_health(worker_record& worker, const run_end& end,
                     base::time_point now);
    void advance_acknowledged(worker_record& worker);
    void request_stop(worker_record& worker, active_run& run);
    void forget_stop(worker_record& worker, active_run& run);

    // Steps.
    bool is_lost(const worker_record& worker) const;
    void settle_workers(base::time_point now);
    void settle_stops(worker_record& worker, base::time_point now);
    void settle_jobs(base::time_point now, wall_time wall);
    void order_stops(base::time_point now, std::vector<order>& orders);
    void order_saves(std::vector<order>& orders);
    void order_pacing(base::time_point now, std::vector<order>& orders);
    void stop_stalled(base::time_point now);
    void stop_broken_gang(const jobs::step_key& key, const step_record& step);
    bool step_ready(const job_record& job, std::size_t occurrence,
                    const jobs::step_spec& spec) const;
    bool step_soon(const job_record& job, std::size_t occurrence,
                   const jobs::step_spec& spec, const queue_policy& queue,
                   base::time_point now) const;
    void note_share(job_record& job);
    std::vector<candidate> candidates(base::time_point now);
    void add_candidates(job_record& job, service_round& round,
                        base::time_point now,
                        std::vector<candidate>& found) const;
    void start_tasks(std::vector<candidate>& waiting, base::time_point now,
                     std::vector<order>& orders);
    bool start_single(candidate& next, base::time_point now,
                      std::vector<order>& orders);
    bool start_gang(candidate& next, base::time_point now,
                    std::vector<order>& orders);
    bool usable(const worker_record& worker, const candidate& next) const;
    bool has_room(const worker_record& worker, const candidate& next) const;
    bool has_ticket(const worker_record& worker, const candidate& next,
                    base::time_point now) const;
    bool within_limit(const candidate& next, int count) const;
    base::resources reserved_by_others(const worker_record& worker,
                                       const candidate& next) const;
    base::resources claimed_by_others(const candidate& next) const;
    double cost_of(const worker_record& worker, const candidate& next) const;
    void order_start(const candidate& next, int index, worker_record& worker,
                     std::uint64_t run, base::time_point now,
                     std::vector<order>& orders);
    void reserve(const candidate& next);
    void find_open_workers(base::time_point now);
    void find_allowed(candidate& next) const;
    bool may_have_room(const candidate& next) const;
    bool any_room(const candidate& next) const;
    bool any_fresh_ticket(const candidate& next, base::time_point now) const;
    bool any_unasked_room(const candidate& next, base::time_point now) const;
    void make_room(candidate& next, base::time_point now);
    bool make_room_for_one(candidate& next);
    limit_plan plan_limit(const candidate& next, base::time_point now);
    void claim_limit(candidate& next, const limit_plan& plan);
    void find_victims(service_round& round, base::time_point now);
    void order_tickets(std::vector<candidate>& waiting, base::time_point now,
                       ticket_slots slots, std::vector<order>& orders);
    std::vector<base::worker_id> workers_to_ask(const candidate& next) const;

    fleet_options options_;
    // When this leader kept others from giving orders.
    bool list_complete_ = true;
    base::time_point since_;
    std::shared_ptr<const catalogue> catalogue_;
    std::map<base::worker_id, worker_record> workers_;
    // By number; null once the worker is gone.
    std::vector<worker_record*> numbered_;
    std::map<base::job_id, job_record> jobs_;
    // The jobs that are not final.
    std::map<base::job_id, job_record*> open_jobs_;
    std::map<base::job_id, base::time_point> early_cancels_;
    std::map<base::team_id, base::resources> usage_;
    // The part of it that is being stopped.
    std::map<base::team_id, base::resources> stopping_;
    std::map<base::job_id, bool> dirty_;
    // Final jobs whose state is stored, in the order of finished_at.
    std::deque<base::job_id> finished_;
    base::time_point stalls_checked_at_;
    std::map<base::team_id, share_meter> shares_;
    // Of the present round: the workers of each service that take tasks, and
    // what steps that came before reserved of the limits of teams.
    std::map<base::service_id, service_round> rounds_;
    std::map<base::team_id, base::resources> claimed_limits_;
    // Of the present round: at least what may run of any team where nobody has
    // looked yet.
    base::resources unknown_usage_;
};

} // namespace coltsfootrack::fleet

#endif
