// Checks that the events at the workers keep the guarantees of the cell.

#include "history_checker.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <sstream>

namespace coltsfootrack::soak
{
namespace
{

// An end counts as observed this long after the worker listed it.
constexpr std::int64_t listed_grace_ms = 100;

} // namespace

history_checker::history_checker(std::int64_t worker_cpu_milli)
    : worker_cpu_milli_(worker_cpu_milli)
{
}

history_checker::task_id history_checker::parse_task_id(const std::string& task)
{
    task_id id;
    std::istringstream text(task);
    std::string occurrence;
    std::string step;
    std::string index;
    std::getline(text, id.job, '.');
    std::getline(text, occurrence, '.');
    std::getline(text, step, '.');
    std::getline(text, index, '.');
    id.step = std::stoi(step);
    id.index = std::stoi(index);
    return id;
}

void history_checker::add_violation(const nlohmann::json& event,
                                    const std::string& rule)
{
    violations_.push_back(fmt::format("{}: {}", rule, event.dump()));
}

bool history_checker::step_done(const std::string& job, int step) const
{
    const submitted_job& submitted = jobs_.at(job);
    for (int i = 0;
         i < submitted.steps.at(static_cast<std::size_t>(step)).tasks; ++i)
    {
        const auto found = tasks_.find(fmt::format("{}.0.{}.{}", job, step, i));
        if (found == tasks_.end() || !found->second.done)
        {
            return false;
        }
    }
    return true;
}

bool history_checker::done(const std::string& id) const
{
    const auto job = jobs_.find(id);
    if (job == jobs_.end())
    {
        return false;
    }
    for (std::size_t i = 0; i < job->second.steps.size(); ++i)
    {
        if (!step_done(id, static_cast<int>(i)))
        {
            return false;
        }
    }
    return true;
}

bool history_checker::all_running(const std::string& id) const
{
    const std::vector<submitted_step>& steps = jobs_.at(id).steps;
    for (std::size_t s = 0; s < steps.size(); ++s)
    {
        for (int i = 0; i < steps[s].tasks; ++i)
        {
            const auto found = tasks_.find(fmt::format("{}.0.{}.{}", id, s, i));
            if (found == tasks_.end() || found->second.running.empty())
            {
                return false;
            }
        }
    }
    return true;
}

bool history_checker::attempts_exhausted(const std::string& id) const
{
    const auto job = jobs_.find(id);
    return job != jobs_.end() &&
           std::any_of(tasks_.begin(), tasks_.end(),
                       [&](const auto& entry)
                       {
                           return parse_task_id(entry.first).job == id &&
                                  !is_standing(entry.first) &&
                                  static_cast<int>(
                                      entry.second.failed_runs.size()) >=
                                      job->second.max_attempts;
                       });
}

bool history_checker::is_standing(const std::string& task) const
{
    const task_id id = parse_task_id(task);
    const auto job = jobs_.find(id.job);
    return job != jobs_.end() &&
           id.step < static_cast<int>(job->second.steps.size()) &&
           job->second.steps[static_cast<std::size_t>(id.step)].standing;
}

const submitted_job& history_checker::job_of_task(const std::string& task) const
{
    return jobs_.at(parse_task_id(task).job);
}

const submitted_step&
history_checker::step_of_task(const std::string& task) const
{
    return job_of_task(task).steps.at(
        static_cast<std::size_t>(parse_task_id(task).step));
}

std::int64_t history_checker::used_cpu_milli(const std::string& worker) const
{
    const auto found = used_cpu_milli_.find(worker);
    return found == used_cpu_milli_.end() ? 0 : found->second;
}

void history_checker::apply(const nlohmann::json& events)
{
    for (const nlohmann::json& event : events)
    {
        const auto kind = event.at("kind").get<std::string>();
        const auto now_ms = event.value("ms", std::int64_t{0});
        observe_due_ends(now_ms);
        if (kind == "lapse")
        {
            drop_unobserved_runs(event.at("worker").get<std::string>());
            continue;
        }
        if (kind == "life")
        {
            on_worker_restart(event.at("worker").get<std::string>(), now_ms);
            continue;
        }
        const auto task = event.at("task").get<std::string>();
        if (kind == "start")
        {
            on_start(event, task);
        }
        else if (kind == "end")
        {
            on_end(event, task);
        }
        else if (kind == "listed")
        {
            completed_run* ended = find_completed_run(event, task);
            if (ended != nullptr && listed_ends_observed_)
            {
                ended->due_ms = now_ms + listed_grace_ms;
                listed_ends_.emplace_back(ended->due_ms, task, ended->worker,
                                          ended->run);
            }
        }
        else
        {
            on_acknowledgement(event, task);
        }
    }
}

void history_checker::on_start(const nlohmann::json& event,
                               const std::string& task)
{
    ++starts_;
    const task_id id = parse_task_id(task);
    const auto worker = event.at("worker").get<std::string>();
    const auto run = event.at("run").get<std::uint64_t>();
    const auto job = jobs_.find(id.job);
    if (job == jobs_.end() || job->second.payload != event.at("payload") ||
        id.step >= static_cast<int>(job->second.steps.size()))
    {
        add_violation(event, "task of an unknown job, step or payload");
        return;
    }
    started_jobs_.insert(id.job);
    const submitted_step& step =
        job->second.steps[static_cast<std::size_t>(id.step)];
    task_state& state = tasks_[task];
    if (!state.running.empty())
    {
        add_violation(event, "task started while another run is active");
    }
    if (step.standing)
    {
        standing_gaps_.erase(task);
    }
    else
    {
        check_no_repetition(event, task, job->second.max_attempts);
    }
    for (const int earlier : step.after)
    {
        if (!step_done(id.job, earlier))
        {
            add_violation(
                event, "step started before the steps it depends on were done");
        }
    }
    std::int64_t& used = used_cpu_milli_[worker];
    used += step.cpu_milli;
    if (used > worker_cpu_milli_)
    {
        add_violation(event,
                      fmt::format("worker over its capacity ({})", used));
    }
    state.running.insert({worker, run});
}

// Checks that nothing forbids another run of a task that has run before.
void history_checker::check_no_repetition(const nlohmann::json& event,
                                          const std::string& task,
                                          int max_attempts)
{
    for (completed_run& ended : completed_runs_[task])
    {
        if (ended.started_again.is_null())
        {
            ended.started_again = event;
        }
        if (ended.observed)
        {
            add_violation(event,
                          "task started again after its end was observed");
            break;
        }
    }
    const task_state& state = tasks_[task];
    if (state.done_acknowledged)
    {
        add_violation(event,
                      "task started again after its end was acknowledged");
    }
    if (state.failures_acknowledged >= max_attempts)
    {
        add_violation(event, "task started again after max_attempts failures");
    }
}

void history_checker::on_end(const nlohmann::json& event,
                             const std::string& task)
{
    const task_id id = parse_task_id(task);
    const auto worker = event.at("worker").get<std::string>();
    const auto run = event.at("run").get<std::uint64_t>();
    task_state& state = tasks_[task];
    const auto job = jobs_.find(id.job);
    if (state.running.erase({worker, run}) > 0 && job != jobs_.end())
    {
        used_cpu_milli_[worker] -=
            job->second.steps.at(static_cast<std::size_t>(id.step)).cpu_milli;
        if (state.running.empty() && is_standing(task))
        {
            standing_gaps_[task] = event.value("ms", std::int64_t{0});
        }
    }
    if (event.at("how") == "done")
    {
        state.done = true;
        state.done_runs.insert({worker, run});
        completed_run added;
        added.worker = worker;
        added.run = run;
        completed_runs_[task].push_back(std::move(added));
    }
    else if (event.at("how") == "failed")
    {
        state.failed_runs.insert({worker, run});
    }
}

void history_checker::on_acknowledgement(const nlohmann::json& event,
                                         const std::string& task)
{
    const std::pair<std::string, std::uint64_t> run{
        event.at("worker").get<std::string>(),
        event.at("run").get<std::uint64_t>()};
    task_state& state = tasks_[task];
    state.done_acknowledged =
        state.done_acknowledged || state.done_runs.count(run) > 0;
    completed_run* ended = find_completed_run(event, task);
    if (ended != nullptr)
    {
        mark_observed(*ended);
    }
    state.failures_acknowledged += state.failed_runs.count(run) > 0 ? 1 : 0;
}

// A start between the end and its observation is a violation as well.
void history_checker::mark_observed(completed_run& ended)
{
    if (!ended.observed && !ended.started_again.is_null())
    {
        add_violation(
            ended.started_again,
            "task started again after an end that was observed later");
    }
    ended.observed = true;
}

void history_checker::observe_due_ends(std::int64_t now_ms)
{
    while (!listed_ends_.empty() && std::get<0>(listed_ends_.front()) <= now_ms)
    {
        const auto [due, task, worker, run] = listed_ends_.front();
        listed_ends_.pop_front();
        for (completed_run& ended : completed_runs_[task])
        {
            if (ended.worker == worker && ended.run == run &&
                ended.due_ms == due)
            {
                mark_observed(ended);
            }
        }
    }
}

// An end does not count if the worker's lease lapses before it is observed.
void history_checker::drop_unobserved_runs(const std::string& worker)
{
    for (auto& [task, ends] : completed_runs_)
    {
        ends.erase(std::remove_if(ends.begin(), ends.end(),
                                  [&](const completed_run& ended) {
                                      return ended.worker == worker &&
                                             !ended.observed;
                                  }),
                   ends.end());
    }
}

history_checker::completed_run*
history_checker::find_completed_run(const nlohmann::json& event,
                                    const std::string& task)
{
    for (completed_run& ended : completed_runs_[task])
    {
        if (ended.worker == event.at("worker") && ended.run == event.at("run"))
        {
            return &ended;
        }
    }
    return nullptr;
}

// A restarted worker runs nothing, and its unacknowledged ends are lost.
void history_checker::on_worker_restart(const std::string& worker,
                                        std::int64_t now_ms)
{
    used_cpu_milli_[worker] = 0;
    drop_unobserved_runs(worker);
    for (auto& [task, state] : tasks_)
    {
        const bool ran = !state.running.empty();
        for (auto it = state.running.begin(); it != state.running.end();)
        {
            it = it->first == worker ? state.running.erase(it) : std::next(it);
        }
        if (ran && state.running.empty() && is_standing(task))
        {
            standing_gaps_[task] = now_ms;
        }
    }
}

void history_checker::finish()
{
    for (const auto& [id, job] : jobs_)
    {
        if (job.all_refused && started_jobs_.count(id) > 0)
        {
            violations_.push_back("refused job has started: " + id);
        }
    }
}

} // namespace coltsfootrack::soak
