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

// The pause between passes over the queues while nothing changes; only the
// passage of time can then decide something, such as a reservation.
constexpr base::duration idle_pass_interval = std::chrono::seconds(1);

} // namespace

bool scheduler::core::is_full() const
{
    return out_.size() >= max_actions_;
}

bool scheduler::core::has_more() const
{
    return more_ || !urgent_stops_.empty() || !stops_.empty() ||
           !notices_.empty() || !endings_.empty() || !throttles_.empty();
}

std::vector<action> scheduler::core::step(base::time_point now,
                                          std::size_t max_actions)
{
    now_ = std::max(now_, now);
    max_actions_ = max_actions;
    out_.clear();
    searches_ = 0;
    plans_ = 0;
    more_ = false;
    // Room that has become free is used before a late hold is given up.
    start_held();
    run_timers();
    // Urgent work comes before the stops of a cancellation wave.
    emit_task_actions(action_type::stop, urgent_stops_, max_actions_);
    const bool pass = changed_ || now_ >= next_pass_;
    if (pass)
    {
        changed_ = false;
        accelerators_missing_ = false;
        run_tier(tier::urgent);
        emit_task_actions(action_type::stop, urgent_stops_, max_actions_);
    }
    emit_control();
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
        std::count_if(out_.begin(), out_.end(),
                      [](const action& decided)
                      { return decided.type == action_type::start; }));
    return std::exchange(out_, {});
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
    renew_reservations();
    if (slices_lowered_)
    {
        stop_excess_of_slices();
    }
}

void scheduler::core::emit_task_actions(action_type type,
                                        std::deque<serial_handle>& queue,
                                        std::size_t limit)
{
    while (!queue.empty() && out_.size() < limit)
    {
        const serial_handle next = queue.front();
        queue.pop_front();
        const booking& booked = bookings_[next.place];
        if (booked.serial != next.serial)
        {
            continue;
        }
        action decided = job_action(type, jobs_[booked.job]);
        decided.task.index = booked.index;
        decided.worker = fleet_[booked.worker].spec.id;
        decided.token = booked.token;
        decided.size = booked.size;
        if (type == action_type::stop)
        {
            decided.grace = booked.grace;
            decided.reason = booked.reason;
        }
        out_.push_back(std::move(decided));
    }
}

void scheduler::core::stop_endings()
{
    std::size_t budget = options_.max_cancel_stops_per_step;
    while (!endings_.empty() && budget > 0)
    {
        const serial_handle next = endings_.front();
        endings_.pop_front();
        --budget;
        const booking& booked = bookings_[next.place];
        if (booked.serial == next.serial && !booked.stopping)
        {
            request_stop(next.place,
                         jobs_[booked.job].condemned ? stop_reason::condemned
                                                     : stop_reason::cancelled,
                         options_.cancel_grace, false);
        }
    }
}

void scheduler::core::emit_control()
{
    // Half of the remaining actions at least is left for starts.
    const std::size_t left = max_actions_ - std::min(max_actions_, out_.size());
    const std::size_t limit = out_.size() + (left + 1) / 2;
    while (!notices_.empty() && out_.size() < limit)
    {
        out_.push_back(std::move(notices_.front()));
        notices_.pop_front();
    }
    stop_endings();
    emit_task_actions(action_type::throttle, throttles_, limit);
    emit_task_actions(action_type::stop, stops_, limit);
}

void scheduler::core::run_tier(tier level)
{
    // The lowest weighted share first, then the lowest team id.
    using turn = std::tuple<double, std::uint32_t, handle>;
    std::priority_queue<turn, std::vector<turn>, std::greater<>> turns;
    const auto enter = [&](handle place)
    {
        const team_record& team = teams_[place];
        if (team.has_policy &&
            !team.queues[static_cast<std::size_t>(level)].empty())
        {
            turns.emplace(weighted_share(team), team.order, place);
        }
    };
    for (handle place = 0; place < teams_.size(); ++place)
    {
        enter(place);
    }
    while (!turns.empty())
    {
        if (is_full())
        {
            more_ = true;
            return;
        }
        const handle place = std::get<2>(turns.top());
        turns.pop();
        if (try_team(place, level))
        {
            enter(place);
        }
    }
}

bool scheduler::core::try_team(handle place, tier level)
{
    team_record& team = teams_[place];
    const tier_queue& queue = team.queues[static_cast<std::size_t>(level)];
    // When an older job of the team waits for its slice, younger batch jobs
    // may run only if they end before the slice is expected to hold it.
    base::time_point must_end = base::time_point::max();
    std::size_t looked_at = 0;
    for (const auto& [sequence, group] : queue.heads())
    {
        if (++looked_at > options_.max_sizes_per_team)
        {
            break;
        }
        const handle job_place = group->jobs.begin()->second;
        const job_record& job = jobs_[job_place];
        if (must_end != base::time_point::max() &&
            (job.spec.run_time == base::duration::zero() ||
             now_ + job.spec.run_time > must_end))
        {
            continue;
        }
        if (try_job(job_place, *group))
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

bool scheduler::core::try_job(handle place, shape_group& group)
{
    job_record& job = jobs_[place];
    const team_record& team = teams_[job.team];
    const std::uint32_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    const base::resources need = job.size * tasks;
    // What is held for the job itself is open to it.
    const base::resources own = job.size * std::min(job.holds, tasks);
    const bool plans = (job.spec.urgent || (job.size.accelerators > 0 &&
                                            options_.keep_accelerators)) &&
                       options_.preemption && job.holds < job.waiting.size();
    const auto plan = [&]
    {
        if (!plans || group.plan_failed_at == room_state_)
        {
            return false;
        }
        if (plans_ >= options_.max_plans_per_step)
        {
            more_ = true;
            return false;
        }
        ++plans_;
        if (plan_preemption(place))
        {
            return true;
        }
        group.plan_failed_at = room_state_;
        return false;
    };
    if (!holds(headroom(team) + own, need))
    {
        return job.spec.urgent && plan();
    }
    if (group.failed_at != room_state_ || now_ >= group.retry_at)
    {
        if (failed_state_ != room_state_)
        {
            failed_searches_.clear();
            failed_state_ = room_state_;
        }
        if (!job.failures.empty() || !failed_searches_.contains(group.key))
        {
            if (searches_ >= options_.max_searches_per_step)
            {
                more_ = true;
                return false;
            }
            ++searches_;
            if (start_tasks(place))
            {
                return true;
            }
            failed_searches_.insert(group.key);
        }
        group.failed_at = room_state_;
        // Which workers a failed task avoids changes with the time.
        group.retry_at = job.failures.empty() ? base::time_point::max()
                                              : now_ + idle_pass_interval;
    }
    if (job.size.accelerators > 0)
    {
        accelerators_missing_ = true;
    }
    return plan() || (wants_reservation(job) && plan_reservation(place));
}

} // namespace coltsfootrack::placement
