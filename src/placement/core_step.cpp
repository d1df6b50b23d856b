// The order of decisions in one step.

#include "scheduler_core.hpp"

#include "fit.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfootrack::placement
{
namespace
{

// The interval between passes over the queues while nothing changes; only
// elapsed time can then lead to a decision, such as a reservation.
constexpr base::duration idle_pass_interval = std::chrono::seconds(1);

} // namespace

bool scheduler::core::is_full() const
{
    return actions_.size() >= max_actions_;
}

bool scheduler::core::has_more() const
{
    return more_ || !urgent_stops_.empty() || !stops_.empty() ||
           !notices_.empty() || !ending_tasks_.empty() || !throttles_.empty();
}

std::vector<action> scheduler::core::step(base::time_point now,
                                          std::size_t max_actions)
{
    now_ = std::max(now_, now);
    max_actions_ = max_actions;
    actions_.clear();
    searches_ = 0;
    plans_ = 0;
    more_ = false;
    // Freed room is used before an expired hold is dropped.
    start_held();
    run_timers();
    // Stops for urgent work go before those of a mass cancellation.
    emit_task_actions(action_type::stop, urgent_stops_, max_actions_);
    const bool pass = changed_ || now_ >= next_pass_;
    if (pass)
    {
        changed_ = false;
        accelerators_missing_ = false;
        run_tier(tier::urgent);
        emit_task_actions(action_type::stop, urgent_stops_, max_actions_);
    }
    emit_control_actions();
    if (pass)
    {
        run_tier(tier::service);
        run_tier(tier::batch);
        if (!more_)
        {
            if (accelerators_wanted_ && !accelerators_missing_)
            {
                room_changed();
            }
            accelerators_wanted_ = accelerators_missing_;
            next_pass_ = now_ + idle_pass_interval;
        }
        changed_ = changed_ || more_;
    }
    totals_.starts += static_cast<std::uint64_t>(
        std::count_if(actions_.begin(), actions_.end(),
                      [](const action& decided)
                      { return decided.type == action_type::start; }));
    return std::exchange(actions_, {});
}

void scheduler::core::run_timers()
{
    while (!delayed_.empty() && delayed_.top().due <= now_)
    {
        const delayed_task due = delayed_.top();
        delayed_.pop();
        job_record& job = jobs_[due.job];
        if (job.sequence == due.sequence && !job.ending && job.delayed > 0)
        {
            --job.delayed;
            job.waiting.insert(due.index);
            update_queue(due.job);
        }
    }
    end_quarantines();
    for (std::size_t i = holds_.size(); i > 0; --i)
    {
        if (holds_[i - 1].deadline <= now_)
        {
            drop_hold(i - 1);
        }
    }
    replan_reservations();
    if (slices_lowered_)
    {
        stop_excess_of_slices();
    }
}

void scheduler::core::emit_task_actions(action_type type,
                                        std::deque<serial_handle>& queue,
                                        std::size_t limit)
{
    while (!queue.empty() && actions_.size() < limit)
    {
        const serial_handle next = queue.front();
        queue.pop_front();
        const booking& booked = bookings_[next.record];
        if (booked.serial != next.serial)
        {
            continue;
        }
        action decided = job_action(type, jobs_[booked.job]);
        decided.task.index = booked.index;
        decided.worker = pool_[booked.worker].spec.id;
        decided.token = booked.token;
        decided.size = booked.size;
        if (type == action_type::stop)
        {
            decided.grace = booked.grace;
            decided.reason = booked.reason;
        }
        actions_.push_back(std::move(decided));
    }
}

void scheduler::core::stop_ending_tasks()
{
    std::size_t budget = options_.max_cancel_stops_per_step;
    while (!ending_tasks_.empty() && budget > 0)
    {
        const serial_handle next = ending_tasks_.front();
        ending_tasks_.pop_front();
        --budget;
        const booking& booked = bookings_[next.record];
        if (booked.serial == next.serial && !booked.stopping)
        {
            request_stop(next.record,
                         jobs_[booked.job].failed ? stop_reason::condemned
                                                  : stop_reason::cancelled,
                         options_.cancel_grace, false);
        }
    }
}

void scheduler::core::emit_control_actions()
{
    // At least half of the remaining actions, rounded down, is left for starts.
    const std::size_t left =
        max_actions_ - std::min(max_actions_, actions_.size());
    const std::size_t limit = actions_.size() + (left + 1) / 2;
    while (!notices_.empty() && actions_.size() < limit)
    {
        actions_.push_back(std::move(notices_.front()));
        notices_.pop_front();
    }
    stop_ending_tasks();
    emit_task_actions(action_type::throttle, throttles_, limit);
    emit_task_actions(action_type::stop, stops_, limit);
}

void scheduler::core::run_tier(tier level)
{
    // The lowest weighted share first, then the lowest team id.
    using team_entry = std::tuple<double, std::uint32_t, handle>;
    std::priority_queue<team_entry, std::vector<team_entry>, std::greater<>>
        team_order;
    const auto push_team = [&](handle team_handle)
    {
        const team_record& team = teams_[team_handle];
        if (team.has_policy &&
            !team.queues[static_cast<std::size_t>(level)].empty())
        {
            team_order.emplace(weighted_share(team), team.order, team_handle);
        }
    };
    for (handle team_handle = 0; team_handle < teams_.size(); ++team_handle)
    {
        push_team(team_handle);
    }
    while (!team_order.empty())
    {
        if (is_full())
        {
            more_ = true;
            return;
        }
        const handle team_handle = std::get<2>(team_order.top());
        team_order.pop();
        if (try_team(team_handle, level))
        {
            push_team(team_handle);
        }
    }
}

bool scheduler::core::try_team(handle team_handle, tier level)
{
    team_record& team = teams_[team_handle];
    const tier_queue& queue = team.queues[static_cast<std::size_t>(level)];
    // When an older job of the team waits for its slice, younger batch jobs may
    // run only if they end before the slice is expected to have room for it.
    base::time_point must_end = base::time_point::max();
    std::size_t classes_tried = 0;
    for (const auto& [sequence, group] : queue.heads())
    {
        if (++classes_tried > options_.max_classes_per_team)
        {
            break;
        }
        const handle job_handle = group->jobs.begin()->second;
        const job_record& job = jobs_[job_handle];
        if (must_end != base::time_point::max() &&
            (job.spec.run_time == base::duration::zero() ||
             now_ + job.spec.run_time > must_end))
        {
            continue;
        }
        if (try_job(job_handle, *group))
        {
            return true;
        }
        if (level == tier::batch && options_.reservations &&
            now_ - job.submitted >= options_.reserve_after)
        {
            must_end = std::min(must_end, slice_ready(job));
        }
    }
    return false;
}

bool scheduler::core::try_job(handle job_handle, equivalence_class& group)
{
    job_record& job = jobs_[job_handle];
    const team_record& team = teams_[job.team];
    const std::uint32_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    const base::resources need = job.size * tasks;
    // The job may use what is held for it.
    const base::resources held_for_job = job.size * std::min(job.holds, tasks);
    const bool may_preempt =
        (job.spec.urgent ||
         (job.size.accelerators > 0 && options_.keep_accelerators)) &&
        options_.preemption && job.holds < job.waiting.size();
    const auto try_preempt = [&]
    {
        if (!may_preempt || group.plan_failed_version == room_version_)
        {
            return false;
        }
        if (plans_ >= options_.max_preemption_plans_per_step)
        {
            more_ = true;
            return false;
        }
        ++plans_;
        if (plan_preemption(job_handle))
        {
            return true;
        }
        group.plan_failed_version = room_version_;
        return false;
    };
    if (!can_fit(headroom(team) + held_for_job, need))
    {
        return job.spec.urgent && try_preempt();
    }
    if (group.search_failed_version != room_version_ || now_ >= group.retry_at)
    {
        if (failed_searches_version_ != room_version_)
        {
            failed_searches_.clear();
            failed_searches_version_ = room_version_;
        }
        if (!job.failures.empty() || !failed_searches_.contains(group.key))
        {
            if (searches_ >= options_.max_searches_per_step)
            {
                more_ = true;
                return false;
            }
            ++searches_;
            if (start_tasks(job_handle))
            {
                return true;
            }
            failed_searches_.insert(group.key);
        }
        group.search_failed_version = room_version_;
        // The workers that a failed task avoids change over time.
        group.retry_at = job.failures.empty() ? base::time_point::max()
                                              : now_ + idle_pass_interval;
    }
    if (job.size.accelerators > 0)
    {
        accelerators_missing_ = true;
    }
    return try_preempt() ||
           (wants_reservation(job) && plan_reservation(job_handle));
}

} // namespace coltsfootrack::placement
