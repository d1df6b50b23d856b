// Standing tasks that have no run, and what they wait for.
//
// Such a task runs until its job is cancelled, so each second without a run is
// lost to those whom it serves. The check says where that time goes: until the
// run of a lost worker has certainly ended, or from there to the next start.

#include "candidate.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_list.hpp>
#include <coltsfootrack/fleet/fleet.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <string_view>

namespace coltsfootrack::fleet
{
namespace
{

constexpr std::string_view log_part = "fleet";

// How often the tasks are checked; each check visits all standing tasks.
constexpr std::chrono::milliseconds check_period{500};

// A task without a run is logged from this time on: longer than a stop and a
// start take, with a ticket in between.
constexpr std::chrono::milliseconds logged_gap{3000};

std::int64_t to_ms(base::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

// What a standing task that has no run waits for; empty if it runs.
std::string_view fleet::standing_task_waits_for(const job_record& job,
                                                const candidate* waiting,
                                                const jobs::task_key& key,
                                                const task_record& task,
                                                base::time_point now) const
{
    if (task.worker)
    {
        const worker_record& worker = workers_.at(*task.worker);
        if (worker.unresponsive)
        {
            return lease_expired(worker, now) ? "confirmation" : "lease";
        }
        const run_phase phase = worker.runs.at(key).phase;
        return phase == run_phase::running    ? ""
               : phase == run_phase::stopping ? "stop"
                                              : "start";
    }
    if (job.queue == nullptr)
    {
        return "queue";
    }
    if (job.change_saved < job.services_change)
    {
        return "store";
    }
    if (waiting == nullptr)
    {
        return "reports";
    }
    if (!within_limit(*waiting, 1))
    {
        return "limit";
    }
    if (!any_room(*waiting))
    {
        return "room";
    }
    return any_room_without_ticket(*waiting, now) ? "ticket" : "round";
}

void fleet::check_standing_tasks(const std::vector<candidate>& waiting,
                                 base::time_point now)
{
    if (now - standing_checked_at_ < check_period)
    {
        return;
    }
    standing_checked_at_ = now;
    std::map<jobs::step_key, const candidate*> by_step;
    for (const candidate& next : waiting)
    {
        by_step[next.key] = &next;
    }
    std::map<jobs::task_key, base::time_point> gaps;
    std::map<std::string_view, int> causes;
    const auto check_step = [&](const job_record& job,
                                const jobs::step_key& key,
                                const step_record& step)
    {
        const auto found = by_step.find(key);
        for (std::size_t i = 0; i < step.tasks.size(); ++i)
        {
            const jobs::task_key task{key, static_cast<int>(i)};
            const std::string_view cause = standing_task_waits_for(
                job, found == by_step.end() ? nullptr : found->second, task,
                step.tasks[i], now);
            if (cause.empty())
            {
                continue;
            }
            const auto since = standing_gaps_.find(task);
            gaps[task] = since == standing_gaps_.end() ? now : since->second;
            causes[cause] += now - gaps[task] >= logged_gap ? 1 : 0;
        }
    };
    for (const auto& [id, job] : open_jobs_)
    {
        for (const auto& [k, steps] : job->occurrences)
        {
            for (std::size_t s = 0; s < steps.size(); ++s)
            {
                const jobs::step_spec& spec =
                    spec_of(*job, static_cast<int>(s));
                if (spec.standing && step_ready(steps, spec))
                {
                    check_step(*job, {id, k, static_cast<int>(s)}, steps[s]);
                }
            }
        }
    }
    std::swap(gaps, standing_gaps_);
    log_standing_gaps(gaps, causes, now);
}

// `former` are the gaps at the check before this one.
void fleet::log_standing_gaps(
    const std::map<jobs::task_key, base::time_point>& former,
    const std::map<std::string_view, int>& causes, base::time_point now) const
{
    base::log_list ended(base::log_level::info, log_part,
                         "Standing tasks run again. gaps=");
    for (const auto& [key, since] : former)
    {
        if (standing_gaps_.count(key) == 0 && now - since >= logged_gap)
        {
            ended.add("{}.{}.{}.{}:{}", key.step.job.text(),
                      key.step.occurrence, key.step.step, key.index,
                      to_ms(now - since));
        }
    }
    const auto longest = std::min_element(
        standing_gaps_.begin(), standing_gaps_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (longest == standing_gaps_.end() || now - longest->second < logged_gap)
    {
        return;
    }
    std::string counts;
    for (const auto& [cause, count] : causes)
    {
        if (count > 0)
        {
            fmt::format_to(std::back_inserter(counts), "{}{}:{}",
                           counts.empty() ? "" : ",", cause, count);
        }
    }
    const jobs::task_key& key = longest->first;
    base::log(base::log_level::warning, log_part,
              "Standing tasks have no run. waiting_for={} longest_ms={} job={} "
              "occurrence={} step={} task={}",
              counts, to_ms(now - longest->second), key.step.job.text(),
              key.step.occurrence, key.step.step, key.index);
}

} // namespace coltsfootrack::fleet
