#ifndef COLTSFOOTRACK_PLACEMENT_SCHEDULER_CORE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SCHEDULER_CORE_HPP_INCLUDED

#include "booking.hpp"
#include "delayed_task.hpp"
#include "job_record.hpp"
#include "preemption_hold.hpp"
#include "release_event.hpp"
#include "reservation.hpp"
#include "serial_handle.hpp"
#include "slab.hpp"
#include "task_outcome.hpp"
#include "team_record.hpp"
#include "tier.hpp"
#include "victim.hpp"
#include "worker_pool.hpp"
#include <coltsfootrack/placement/scheduler.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::placement
{

// The implementation of scheduler. The members are defined by topic:
// core_jobs.cpp (submission, cancellation, takeover), core_queue.cpp (queue and
// end of jobs), core_workers.cpp (teams and workers), core_bookings.cpp
// (bookings and reports), core_step.cpp (the order of decisions),
// core_start.cpp (search and start), core_preempt.cpp, core_reserve.cpp,
// core_health.cpp, core_usage.cpp and core_explain.cpp.
//
// Thread safety: none.
class scheduler::core
{
public:
    core(scheduler_options options, base::random_source random);

    void set_teams(const std::vector<team_policy>& teams);
    void set_quota(const base::team_id& team, const base::resources& slice);
    void set_unadopted_capacity(const base::resources& capacity);
    void add_worker(const worker_spec& spec);
    void set_worker_state(const base::worker_id& id, worker_state state);
    void remove_worker(const base::worker_id& id);
    absl::Status submit(const job_spec& spec, base::time_point now);
    absl::Status cancel(const base::job_id& id);
    void restore_running(const restored_task& running);
    void restore_finished(const base::task_id& task);
    bool report_started(const base::task_id& task, std::string_view token,
                        base::time_point now);
    bool report_ended(const base::task_id& task, std::string_view token,
                      task_outcome outcome, std::string_view reason,
                      base::time_point now);
    bool report_usage(const base::task_id& task, std::string_view token,
                      const base::resources& usage, base::time_point now);
    std::vector<action> step(base::time_point now, std::size_t max_actions);
    bool has_more() const;
    explanation explain(const base::job_id& id) const;
    scheduler_counters counters() const;

private:
    // Jobs.
    absl::Status check_job(const job_spec& spec) const;
    absl::Status check_possible(const job_spec& spec,
                                const base::resources& size,
                                const team_record& team) const;
    // Updates the position in the queue from the waiting tasks.
    void update_queue(handle job);
    void leave_queue(job_record& job);
    void queue_ending_tasks(const job_record& job);
    // Whether tasks of the job may be started.
    static bool is_ready(const job_record& job);
    equivalence_key key_of(const job_record& job) const;
    // Completes the job if no task is left; otherwise updates its position in
    // the queue.
    void complete_or_requeue(handle job);
    void erase_job(handle job);
    void fail_job(handle job, std::string detail);
    // Drops the job's waiting tasks, holds and reservation.
    void drop_pending_work(handle job);
    // Queues a stop for every running task of a gang.
    void break_gang(handle job);
    action job_action(action_type type, const job_record& job) const;

    // Teams and workers.
    handle find_or_add_team(const base::team_id& id);
    // What is left of the team's slice for new starts, less what is held for
    // its urgent tasks.
    base::resources headroom(const team_record& team) const;
    double weighted_share(const team_record& team) const;
    void stop_excess_of_slices();
    // Records that room may have been freed, so that failed searches are
    // repeated.
    void room_changed();

    // Bookings.
    handle book(handle job, std::uint32_t index, handle worker,
                const base::resources& size, std::string token,
                base::time_point started);
    void release(handle booking_handle, task_outcome outcome,
                 base::time_point now);
    void request_stop(handle booking_handle, stop_reason reason,
                      base::duration grace, bool first);
    handle find_booking(const base::task_id& task,
                        std::string_view token) const;
    void resize(booking& booked, const base::resources& size);

    // The step.
    void run_timers();
    void run_tier(tier level);
    // These return whether something was started or planned, after which the
    // queue of the team has changed.
    bool try_team(handle team, tier level);
    bool try_job(handle job, equivalence_class& group);
    // Emits the queued stops or throttles of tasks that still run.
    void emit_task_actions(action_type type, std::deque<serial_handle>& queue,
                           std::size_t limit);
    void emit_control_actions();
    void stop_ending_tasks();
    bool is_full() const;

    // Search and start.
    worker_query query_of(handle job) const;
    // Whether workers on which the task (for a gang: any task) has not failed
    // could hold it.
    bool could_run_elsewhere(const job_record& job, std::uint32_t index) const;
    // The serial numbers of workers on which the next task failed recently.
    std::vector<std::uint64_t> workers_to_avoid(const job_record& job) const;
    bool start_tasks(handle job);
    void start_task(handle job, handle worker);

    // Preemption.
    void start_held();
    bool start_held_job(handle job);
    void release_hold(std::size_t position);
    // Releases a hold and lets other work use the room.
    void drop_hold(std::size_t position);
    void drop_holds(handle job, std::uint32_t count);
    bool plan_preemption(handle job);
    bool plan_task(handle job, std::vector<handle>& chosen);
    // The level of the work in the stop order; the lowest is stopped first.
    int stop_level(const booking& candidate) const;
    // The same for preemption by a job; negative if the job may not preempt it.
    int victim_level(const booking& candidate, const job_record& job) const;
    victim victim_of(handle booking_handle, int level) const;
    bool choose_slice_victims(handle job, std::vector<handle>& chosen);
    handle choose_worker(handle job, std::vector<handle>& chosen);
    // Whether the task is stopping, or chosen to be stopped, and ends in time
    // for urgent work.
    bool ends_in_time(const booking& booked) const;
    // The free room of a worker once those stops are confirmed.
    base::resources room_after_stops(const worker_record& worker) const;
    // Picks from victims_ into picked_ those that cover the missing amount;
    // false if all together do not.
    bool pick_victims(const base::resources& missing);

    // Reservations.
    base::time_point estimated_end(const booking& booked) const;
    bool wants_reservation(const job_record& job) const;
    bool plan_reservation(handle job);
    void drop_reservation(handle job);
    void replan_reservations();
    // When the team's slice is expected to have room for the job; the largest
    // time if it has room now or is not expected to.
    base::time_point slice_ready(const job_record& job) const;

    // Health.
    void record_failure(handle job, const booking& failed,
                        std::string_view reason, base::time_point now);
    bool quarantine(worker_record& worker, base::time_point now);
    // Whether the failures so far show that the job itself is at fault.
    bool is_at_fault(const job_record& job, std::uint32_t index) const;
    std::size_t failed_workers(const job_record& job) const;
    void drop_failures_on(worker_record& worker);
    void drop_old_failures(job_record& job) const;
    void record_success(const booking& finished);
    // Raises the size of a job whose tasks use more memory than declared.
    void raise_size(handle job, const base::resources& usage);
    void end_quarantines();

    scheduler_options options_;
    base::random_source random_;
    base::time_point now_;

    worker_pool pool_;
    slab<job_record> jobs_;
    absl::flat_hash_map<base::job_id, handle> jobs_by_id_;
    slab<booking> bookings_;
    absl::flat_hash_map<std::string, handle> by_token_;
    std::deque<team_record> teams_;
    absl::flat_hash_map<base::team_id, handle> teams_by_id_;
    base::resources unadopted_capacity_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_serial_ = 1;
    std::size_t queued_jobs_ = 0;
    std::size_t stopping_tasks_ = 0;
    bool slices_lowered_ = false;

    // Failed searches, valid while room_version_ is unchanged.
    std::uint64_t room_version_ = 1;
    std::uint64_t failed_searches_version_ = 0;
    absl::flat_hash_set<equivalence_key> failed_searches_;

    std::vector<preemption_hold> holds_;
    std::vector<reservation> reservations_;
    std::priority_queue<delayed_task, std::vector<delayed_task>, std::greater<>>
        delayed_;
    std::vector<serial_handle> quarantined_;
    std::vector<serial_handle> on_probation_;

    // Decided and not yet returned by step.
    std::deque<serial_handle> urgent_stops_;
    std::deque<serial_handle> stops_;
    std::deque<serial_handle> throttles_;
    std::deque<action> notices_;
    // Tasks of cancelled and failed jobs that are still to be stopped.
    std::deque<serial_handle> ending_tasks_;

    // The state of the current step.
    std::vector<action> actions_;
    std::size_t max_actions_ = 0;
    std::size_t searches_ = 0;
    std::size_t plans_ = 0;
    bool more_ = false;
    bool changed_ = true;
    base::time_point next_pass_;
    // Whether accelerator work waits for room: in the last complete pass, and
    // so far in the current one.
    bool accelerators_wanted_ = false;
    bool accelerators_missing_ = false;

    scheduler_counters totals_;

    // Scratch buffers, kept between calls to avoid allocations.
    std::vector<victim> victims_;
    std::vector<victim> picked_;
    std::vector<release_event> events_;
    std::vector<base::resources> rooms_;
    std::vector<std::int64_t> fits_;
};

} // namespace coltsfootrack::placement

#endif
