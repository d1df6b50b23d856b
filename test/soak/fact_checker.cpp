// The judge of the soak.

#include "fact_checker.hpp"

#include <algorithm>
#include <fmt/core.h>
#include <sstream>

namespace coltsfootrack::soak
{
namespace
{

// The platform takes an end for known this long after it was listed.
constexpr std::int64_t listed_grace_ms = 100;

} // namespace

fact_checker::fact_checker(std::int64_t worker_cpu_milli)
    : worker_cpu_milli_(worker_cpu_milli)
{
}

fact_checker::task_name fact_checker::parse(const std::string& task)
{
    task_name name;
    std::istringstream text(task);
    std::string occurrence;
    std::string step;
    std::string index;
    std::getline(text, name.job, '.');
    std::getline(text, occurrence, '.');
    std::getline(text, step, '.');
    std::getline(text, index, '.');
    name.step = std::stoi(step);
    name.index = std::stoi(index);
    return name;
}

void fact_checker::fail(const nlohmann::json& fact, const std::string& what)
{
    faults_.push_back(fmt::format("{}: {}", what, fact.dump()));
}

bool fact_checker::step_done(const std::string& job, int step) const
{
    const known_job& known = jobs_.at(job);
    for (int i = 0; i < known.steps.at(static_cast<std::size_t>(step)).tasks;
         ++i)
    {
        const auto found = tasks_.find(fmt::format("{}.0.{}.{}", job, step, i));
        if (found == tasks_.end() || !found->second.done)
        {
            return false;
        }
    }
    return true;
}

bool fact_checker::done(const std::string& id) const
{
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
    {
        return false;
    }
    for (std::size_t i = 0; i < known->second.steps.size(); ++i)
    {
        if (!step_done(id, static_cast<int>(i)))
        {
            return false;
        }
    }
    return true;
}

bool fact_checker::spent(const std::string& id) const
{
    const auto known = jobs_.find(id);
    return known != jobs_.end() &&
           std::any_of(tasks_.begin(), tasks_.end(),
                       [&](const auto& entry)
                       {
                           return parse(entry.first).job == id &&
                                  static_cast<int>(
                                      entry.second.failed_runs.size()) >=
                                      known->second.max_attempts;
                       });
}

void fact_checker::apply(const nlohmann::json& facts)
{
    for (const nlohmann::json& fact : facts)
    {
        const auto kind = fact.at("kind").get<std::string>();
        const auto now_ms = fact.value("ms", std::int64_t{0});
        settle_ends(now_ms);
        if (kind == "lapse")
        {
            drop_open_ends(fact.at("worker").get<std::string>());
            continue;
        }
        if (kind == "life")
        {
            lose_worker(fact.at("worker").get<std::string>());
            continue;
        }
        const auto task = fact.at("task").get<std::string>();
        if (kind == "start")
        {
            start(fact, task);
        }
        else if (kind == "end")
        {
            end(fact, task);
        }
        else if (kind == "listed")
        {
            open_end* own = find_end(fact, task);
            if (own != nullptr && count_listed_ends_)
            {
                own->due_ms = now_ms + listed_grace_ms;
                listed_.emplace_back(own->due_ms, task, own->worker, own->run);
            }
        }
        else
        {
            acknowledge(fact, task);
        }
    }
}

void fact_checker::start(const nlohmann::json& fact, const std::string& task)
{
    ++starts_;
    const task_name name = parse(task);
    const auto worker = fact.at("worker").get<std::string>();
    const auto run = fact.at("run").get<std::uint64_t>();
    const auto known = jobs_.find(name.job);
    if (known == jobs_.end() || known->second.payload != fact.at("payload") ||
        name.step >= static_cast<int>(known->second.steps.size()))
    {
        fail(fact, "a task that nobody asked for");
        return;
    }
    started_jobs_.insert(name.job);
    const known_step& step =
        known->second.steps[static_cast<std::size_t>(name.step)];
    task_facts& own = tasks_[task];
    if (!own.running.empty())
    {
        fail(fact, "a task in two places");
    }
    for (open_end& known_end : done_ends_[task])
    {
        if (known_end.started_again.is_null())
        {
            known_end.started_again = fact;
        }
        if (known_end.noted)
        {
            fail(fact, "a task again after its end was taken note of");
            break;
        }
    }
    if (own.done_acknowledged)
    {
        fail(fact, "a task again after its end was acknowledged");
    }
    if (own.failures_acknowledged >= known->second.max_attempts)
    {
        fail(fact, "a task beyond its attempts");
    }
    for (const int earlier : step.after)
    {
        if (!step_done(name.job, earlier))
        {
            fail(fact, "a step before its turn");
        }
    }
    std::int64_t& used = used_[worker];
    used += step.cpu_milli;
    if (used > worker_cpu_milli_)
    {
        fail(fact, fmt::format("a worker beyond its capacity ({})", used));
    }
    own.running.insert({worker, run});
}

void fact_checker::end(const nlohmann::json& fact, const std::string& task)
{
    const task_name name = parse(task);
    const auto worker = fact.at("worker").get<std::string>();
    const auto run = fact.at("run").get<std::uint64_t>();
    task_facts& own = tasks_[task];
    const auto known = jobs_.find(name.job);
    if (own.running.erase({worker, run}) > 0 && known != jobs_.end())
    {
        used_[worker] -=
            known->second.steps.at(static_cast<std::size_t>(name.step))
                .cpu_milli;
    }
    if (fact.at("how") == "done")
    {
        own.done = true;
        own.done_runs.insert({worker, run});
        open_end added;
        added.worker = worker;
        added.run = run;
        done_ends_[task].push_back(std::move(added));
    }
    else if (fact.at("how") == "failed")
    {
        own.failed_runs.insert({worker, run});
    }
}

void fact_checker::acknowledge(const nlohmann::json& fact,
                               const std::string& task)
{
    const std::pair<std::string, std::uint64_t> run{
        fact.at("worker").get<std::string>(),
        fact.at("run").get<std::uint64_t>()};
    task_facts& own = tasks_[task];
    own.done_acknowledged =
        own.done_acknowledged || own.done_runs.count(run) > 0;
    open_end* known_end = find_end(fact, task);
    if (known_end != nullptr)
    {
        note_end(*known_end);
    }
    own.failures_acknowledged += own.failed_runs.count(run) > 0 ? 1 : 0;
}

// An end counts from when it is taken note of, also for a start before that.
void fact_checker::note_end(open_end& own)
{
    if (!own.noted && !own.started_again.is_null())
    {
        fail(own.started_again,
             "a task again after an end that was taken note of later");
    }
    own.noted = true;
}

void fact_checker::settle_ends(std::int64_t now_ms)
{
    while (!listed_.empty() && std::get<0>(listed_.front()) <= now_ms)
    {
        const auto [due, task, worker, run] = listed_.front();
        listed_.pop_front();
        for (open_end& own : done_ends_[task])
        {
            if (own.worker == worker && own.run == run && own.due_ms == due)
            {
                note_end(own);
            }
        }
    }
}

// An end whose worker's lease lapses before it is taken note of never counts.
void fact_checker::drop_open_ends(const std::string& worker)
{
    for (auto& [task, ends] : done_ends_)
    {
        ends.erase(std::remove_if(ends.begin(), ends.end(),
                                  [&](const open_end& own) {
                                      return own.worker == worker && !own.noted;
                                  }),
                   ends.end());
    }
}

fact_checker::open_end* fact_checker::find_end(const nlohmann::json& fact,
                                               const std::string& task)
{
    for (open_end& own : done_ends_[task])
    {
        if (own.worker == fact.at("worker") && own.run == fact.at("run"))
        {
            return &own;
        }
    }
    return nullptr;
}

// A worker that starts again runs nothing, and what it had not told is lost.
void fact_checker::lose_worker(const std::string& worker)
{
    used_[worker] = 0;
    drop_open_ends(worker);
    for (auto& [task, own] : tasks_)
    {
        for (auto it = own.running.begin(); it != own.running.end();)
        {
            it = it->first == worker ? own.running.erase(it) : std::next(it);
        }
    }
}

void fact_checker::finish()
{
    for (const auto& [id, known] : jobs_)
    {
        if (known.all_refused && started_jobs_.count(id) > 0)
        {
            faults_.push_back("a job that was refused has started: " + id);
        }
    }
}

} // namespace coltsfootrack::soak
