// The reference model of a zone.

#include "reference_zone.hpp"

#include <algorithm>

namespace coltsfootrack::placement
{
namespace
{

bool at_most(const base::resources& a, const base::resources& b)
{
    return a.cpu_milli <= b.cpu_milli && a.memory_mb <= b.memory_mb &&
           a.accelerators <= b.accelerators;
}

base::resources sum(const base::resources& a, const base::resources& b)
{
    return {a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb,
            a.accelerators + b.accelerators};
}

int rank(const job_spec& spec)
{
    return spec.urgent ? 0 : spec.kind == job_kind::service ? 1 : 2;
}

} // namespace

void reference_zone::submit(const job_spec& spec)
{
    submitted.insert(spec.id.text());
    known_job& job = jobs[spec.id.text()];
    job.spec = spec;
    for (std::uint32_t i = 0; i < spec.task_count; ++i)
    {
        job.waiting.insert(i);
    }
    order.push_back(spec.id.text());
}

void reference_zone::erase_if_ended(const std::string& name)
{
    const known_job& job = jobs.at(name);
    if (job.running.empty() && (job.ending || job.waiting.empty()))
    {
        jobs.erase(name);
        order.erase(std::find(order.begin(), order.end(), name));
    }
}

void reference_zone::cancel(const std::string& name)
{
    jobs.at(name).ending = true;
    jobs.at(name).waiting.clear();
    erase_if_ended(name);
}

void reference_zone::end(const std::string& name, std::uint32_t index,
                         bool finished)
{
    known_job& job = jobs.at(name);
    job.running.erase(index);
    if (!finished && !job.ending)
    {
        job.waiting.insert(index);
    }
    erase_if_ended(name);
}

void reference_zone::remove_worker(const std::string& worker)
{
    for (const auto& [name, index] : running())
    {
        if (jobs.at(name).running.at(index).worker == worker)
        {
            end(name, index, false);
        }
    }
    workers.erase(worker);
}

base::resources reference_zone::used_on(const std::string& worker) const
{
    base::resources used;
    for (const auto& [name, job] : jobs)
    {
        for (const auto& [index, task] : job.running)
        {
            if (task.worker == worker)
            {
                used = sum(used, task.size);
            }
        }
    }
    return used;
}

base::resources reference_zone::used_by(const std::string& team) const
{
    base::resources used;
    for (const auto& [name, job] : jobs)
    {
        if (job.spec.team.text() == team)
        {
            for (const auto& [index, task] : job.running)
            {
                used = sum(used, task.size);
            }
        }
    }
    return used;
}

std::vector<std::pair<std::string, std::uint32_t>>
reference_zone::running() const
{
    std::vector<std::pair<std::string, std::uint32_t>> result;
    for (const auto& [name, job] : jobs)
    {
        for (const auto& [index, task] : job.running)
        {
            result.emplace_back(name, index);
        }
    }
    return result;
}

std::string reference_zone::apply(const action& decided)
{
    const std::string name = decided.task.job.text();
    const std::uint32_t index = decided.task.index;
    const auto found = jobs.find(name);
    if (decided.type == action_type::complete)
    {
        return found == jobs.end() ? "" : "complete, but tasks are left";
    }
    if (found == jobs.end())
    {
        // A failed job can be cancelled, or its last task can end, before the
        // action is returned.
        return decided.type == action_type::fail_job &&
                       submitted.count(name) > 0
                   ? ""
                   : "action " +
                         std::to_string(static_cast<int>(decided.type)) +
                         " for an unknown job";
    }
    known_job& job = found->second;
    if (decided.type == action_type::fail_job)
    {
        cancel(name);
        return "";
    }
    const auto task = job.running.find(index);
    if (decided.type != action_type::start)
    {
        if (task == job.running.end() || task->second.token != decided.token)
        {
            return "stop of a task that does not run";
        }
        if (decided.type == action_type::stop && task->second.stopping)
        {
            return "second stop of a task";
        }
        task->second.stopping |= decided.type == action_type::stop;
        return "";
    }
    if (task != job.running.end())
    {
        return "start of a running task";
    }
    if (job.waiting.erase(index) == 0)
    {
        return "start of a task that does not wait";
    }
    const std::string worker = decided.worker.text();
    if (workers.count(worker) == 0 || !workers.at(worker).live)
    {
        return "start on a worker that takes no tasks";
    }
    for (const auto& [other, known] : jobs)
    {
        for (const auto& [i, started] : known.running)
        {
            if (started.token == decided.token)
            {
                return "token used twice";
            }
        }
    }
    job.running[index] = {worker, decided.token, decided.size, false};
    if (!at_most(job.spec.task_size, decided.size))
    {
        return "started with less than declared";
    }
    if (!at_most(used_on(worker), workers.at(worker).capacity))
    {
        return "worker over its capacity";
    }
    // A slice that was lowered below the use in one resource does not concern
    // tasks without that resource.
    const base::resources used = used_by(job.spec.team.text());
    const base::resources& slice = teams.at(job.spec.team.text()).slice;
    if ((decided.size.cpu_milli > 0 && used.cpu_milli > slice.cpu_milli) ||
        (decided.size.memory_mb > 0 && used.memory_mb > slice.memory_mb) ||
        (decided.size.accelerators > 0 &&
         used.accelerators > slice.accelerators))
    {
        return "team over its slice";
    }
    return "";
}

bool reference_zone::can_start(const known_job& job) const
{
    if (job.ending || job.waiting.empty() ||
        (job.spec.kind == job_kind::gang && !job.running.empty()))
    {
        return false;
    }
    const std::size_t tasks =
        job.spec.kind == job_kind::gang ? job.waiting.size() : 1;
    base::resources team = used_by(job.spec.team.text());
    for (std::size_t i = 0; i < tasks; ++i)
    {
        team = sum(team, job.spec.task_size);
    }
    // The tests give a team either all of a resource or less than it uses, so
    // that the whole sum decides.
    const base::resources slice = teams.at(job.spec.team.text()).slice;
    const base::resources& size = job.spec.task_size;
    if ((size.cpu_milli > 0 && team.cpu_milli > slice.cpu_milli) ||
        (size.memory_mb > 0 && team.memory_mb > slice.memory_mb) ||
        (size.accelerators > 0 && team.accelerators > slice.accelerators))
    {
        return false;
    }
    std::size_t fits = 0;
    for (const auto& [name, worker] : workers)
    {
        base::resources used = used_on(name);
        while (worker.live && fits < tasks)
        {
            used = sum(used, size);
            if (!at_most(used, worker.capacity))
            {
                break;
            }
            ++fits;
        }
    }
    return fits >= tasks;
}

double reference_zone::share_of(const std::string& team) const
{
    base::resources capacity;
    for (const auto& [name, worker] : workers)
    {
        if (worker.live)
        {
            capacity = sum(capacity, worker.capacity);
        }
    }
    const base::resources used = used_by(team);
    double share = 0;
    if (capacity.cpu_milli > 0)
    {
        share = std::max(share,
                         double(used.cpu_milli) / double(capacity.cpu_milli));
    }
    if (capacity.memory_mb > 0)
    {
        share = std::max(share,
                         double(used.memory_mb) / double(capacity.memory_mb));
    }
    if (capacity.accelerators > 0)
    {
        share = std::max(share, double(used.accelerators) /
                                    double(capacity.accelerators));
    }
    return share / double(teams.at(team).weight);
}

std::optional<std::string> reference_zone::next_job() const
{
    for (int level = 0; level < 3; ++level)
    {
        std::optional<std::string> best;
        double lowest = 0;
        for (const auto& [team, policy] : teams)
        {
            const double share = share_of(team);
            if (best && share >= lowest)
            {
                continue;
            }
            for (const std::string& name : order)
            {
                const known_job& job = jobs.at(name);
                if (job.spec.team.text() == team && rank(job.spec) == level &&
                    can_start(job))
                {
                    best = name;
                    lowest = share;
                    break;
                }
            }
        }
        if (best)
        {
            return best;
        }
    }
    return std::nullopt;
}

} // namespace coltsfootrack::placement
