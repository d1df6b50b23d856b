// The model of a worker of the platform.

#include "worker_model.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace coltsfootrack::simulation
{
namespace
{

constexpr milliseconds stop_time{150};
constexpr milliseconds longest_lease{10000};

} // namespace

std::string name_of(const jobs::task_key& task)
{
    return fmt::format("{}.{}.{}.{}", task.step.job.text(),
                       task.step.occurrence, task.step.step, task.index);
}

worker_model::worker_model(virtual_time& time, std::string id, behaviour tasks,
                           recorder record, first_clock clock_at_start)
    : time_(time)
    , id_(std::move(id))
    , tasks_(std::move(tasks))
    , record_(std::move(record))
    , clock_at_start_(std::move(clock_at_start))
    , born_(time.now())
{
}

milliseconds worker_model::clock() const
{
    return clock_at_start_(life_) +
           std::chrono::duration_cast<milliseconds>(time_.now() - born_);
}

void worker_model::record(const char* kind, const jobs::task_key& task,
                          std::uint64_t run, nlohmann::json more)
{
    nlohmann::json event = {{"kind", kind},
                            {"ms", time_.now_ms()},
                            {"task", name_of(task)},
                            {"worker", id_},
                            {"run", run}};
    if (more.is_object())
    {
        event.update(more);
    }
    record_(event);
}

cell::renewal_result worker_model::report()
{
    cell::renewal_result result;
    result.outcome = fleet::order_outcome::carried_out;
    result.report.life = static_cast<std::int64_t>(life_);
    result.report.clock = clock();
    for (const auto& [task, run] : runs_)
    {
        fleet::listed_run listed;
        listed.task = task;
        listed.run = run.run;
        // Progress, so that no run counts as stalled.
        listed.percent = static_cast<int>(clock().count() / 100 % 100);
        result.report.running.push_back(listed);
    }
    result.report.ended.assign(ended_.begin(), ended_.end());
    return result;
}

void worker_model::acknowledge(std::uint64_t number)
{
    while (!ended_.empty() && ended_.front().number <= number)
    {
        record("acknowledged", ended_.front().task, ended_.front().run);
        ended_.pop_front();
    }
}

void worker_model::renew(const cell::lease_renewal& renewal,
                         const std::function<void(cell::renewal_result)>& done)
{
    if (renewal.epoch < fence_)
    {
        cell::renewal_result refused;
        refused.outcome = fleet::order_outcome::fenced;
        done(refused);
        return;
    }
    fence_ = renewal.epoch;
    acknowledge(renewal.acknowledged);
    if (renewal.lease_end)
    {
        extend_lease(*renewal.lease_end);
    }
    if (renewal.wait.count() == 0 || !ended_.empty())
    {
        done(report());
        return;
    }
    const std::uint64_t number = next_waiting_++;
    waiting_[number] = {done};
    time_.after(renewal.wait,
                [this, number]
                {
                    const auto found = waiting_.find(number);
                    if (found != waiting_.end())
                    {
                        const auto answer = found->second.done;
                        waiting_.erase(found);
                        answer(report());
                    }
                });
}

void worker_model::answer_waiting()
{
    for (const auto& [number, renewal] : std::exchange(waiting_, {}))
    {
        renewal.done(report());
    }
}

fleet::start_result worker_model::start(std::uint64_t epoch,
                                        const fleet::start_order& order,
                                        milliseconds lease_end)
{
    fleet::start_result result;
    result.clock = clock();
    if (epoch < fence_)
    {
        result.outcome = fleet::order_outcome::fenced;
        return result;
    }
    fence_ = epoch;
    const auto running = runs_.find(order.task);
    if (running != runs_.end() && running->second.run == order.run)
    {
        result.outcome = fleet::order_outcome::carried_out;
        return result;
    }
    const auto highest = highest_.find(order.task);
    if (running != runs_.end() ||
        (highest != highest_.end() && order.run <= highest->second))
    {
        extend_lease(lease_end);
        result.outcome = fleet::order_outcome::old_run;
        return result;
    }
    if (lease_end <= clock())
    {
        result.outcome = fleet::order_outcome::late;
        return result;
    }
    extend_lease(lease_end);
    active_run& added = runs_[order.task];
    added.run = order.run;
    added.number = next_number_++;
    record("start", order.task, order.run, {{"payload", order.payload}});
    const task_behaviour task = tasks_(order.task, order.run);
    time_.after(task.runtime,
                [this, key = order.task, number = added.number, life = life_,
                 fails = task.fails]
                {
                    const auto found = runs_.find(key);
                    if (life == life_ && found != runs_.end() &&
                        found->second.number == number)
                    {
                        end(key, fails ? fleet::end_kind::failed
                                       : fleet::end_kind::done);
                    }
                });
    expire_lease(life_);
    result.outcome = fleet::order_outcome::carried_out;
    return result;
}

void worker_model::extend_lease(milliseconds end)
{
    lease_end_ = std::max(lease_end_, std::min(end, clock() + longest_lease));
}

// Ends everything once the lease has expired, and schedules the next look.
void worker_model::expire_lease(std::uint64_t life)
{
    if (life != life_ || lease_check_scheduled_ ||
        (runs_.empty() && ended_.empty()))
    {
        return;
    }
    if (lease_end_ <= clock())
    {
        record_({{"kind", "lapse"}, {"ms", time_.now_ms()}, {"worker", id_}});
        while (!runs_.empty())
        {
            end(runs_.begin()->first, fleet::end_kind::lapsed);
        }
        return;
    }
    lease_check_scheduled_ = true;
    time_.after(lease_end_ - clock(),
                [this, life]
                {
                    if (life == life_)
                    {
                        lease_check_scheduled_ = false;
                        expire_lease(life);
                    }
                });
}

fleet::order_outcome worker_model::stop(std::uint64_t epoch,
                                        const fleet::stop_order& order)
{
    if (epoch < fence_)
    {
        return fleet::order_outcome::fenced;
    }
    fence_ = epoch;
    std::uint64_t& highest = highest_[order.task];
    highest = std::max(highest, order.run);
    const auto found = runs_.find(order.task);
    if (found != runs_.end() && found->second.run <= order.run)
    {
        time_.after(stop_time,
                    [this, key = order.task, number = found->second.number,
                     life = life_]
                    {
                        const auto run = runs_.find(key);
                        if (life == life_ && run != runs_.end() &&
                            run->second.number == number)
                        {
                            end(key, fleet::end_kind::stopped);
                        }
                    });
    }
    return fleet::order_outcome::carried_out;
}

void worker_model::end(const jobs::task_key& task, fleet::end_kind kind)
{
    const auto found = runs_.find(task);
    fleet::run_end ended;
    ended.number = next_end_++;
    ended.task = task;
    ended.run = found->second.run;
    ended.kind = kind;
    std::uint64_t& highest = highest_[task];
    highest = std::max(highest, ended.run);
    runs_.erase(found);
    ended_.push_back(ended);
    record("end", task, ended.run, {{"how", fleet::name_of(kind)}});
    answer_waiting();
}

void worker_model::crash()
{
    record_({{"kind", "life"}, {"ms", time_.now_ms()}, {"worker", id_}});
    up_ = false;
    ++life_;
    runs_.clear();
    highest_.clear();
    ended_.clear();
    waiting_.clear();
    lease_check_scheduled_ = false;
    next_end_ = 1;
    fence_ = 0;
    lease_end_ = milliseconds(0);
}

void worker_model::restart()
{
    if (up_)
    {
        crash();
    }
    up_ = true;
    born_ = time_.now();
}

} // namespace coltsfootrack::simulation
