// Stored format of the progress of a job.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/jobs/job_progress.hpp>
#include <coltsfootrack/jobs/job_spec.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootrack::jobs
{
namespace
{

using nlohmann::json;

constexpr int tasks_per_digit = 4;

// More than any queue allows attempts; a longer range is malformed.
constexpr std::uint64_t max_failures_read = 100000;

// Whether each task is done, four tasks to a hexadecimal digit, the first one
// in the lowest bit.
std::string digits_of(const std::vector<bool>& done)
{
    std::string digits;
    for (std::size_t i = 0; i < done.size(); i += tasks_per_digit)
    {
        unsigned digit = 0;
        for (std::size_t k = i; k < std::min(done.size(), i + tasks_per_digit);
             ++k)
        {
            digit |= static_cast<unsigned>(done[k]) << (k - i);
        }
        digits += "0123456789abcdef"[digit];
    }
    return digits;
}

// The first and last run of each range, since the runs of a task that fails
// again and again have consecutive numbers.
json ranges_of(const failed_runs& runs)
{
    json ranges = json::array();
    for (const std::uint64_t run : runs)
    {
        if (!ranges.empty() && ranges.back().get<std::uint64_t>() + 1 == run)
        {
            ranges.back() = run;
            continue;
        }
        ranges.push_back(run);
        ranges.push_back(run);
    }
    return ranges;
}

failed_runs runs_of(const json& ranges)
{
    failed_runs runs;
    for (std::size_t i = 0; i + 1 < ranges.size(); i += 2)
    {
        const auto first = ranges.at(i).get<std::uint64_t>();
        const auto last = ranges.at(i + 1).get<std::uint64_t>();
        if (last < first || last - first >= max_failures_read)
        {
            throw json::other_error::create(501, "invalid range", &ranges);
        }
        for (std::uint64_t run = first; run <= last; ++run)
        {
            runs.insert(run);
        }
    }
    return runs;
}

// One entry of the list: occurrence, step, number of tasks, which of them are
// done, and the failures as [task, [first, last, ...]].
json to_json(const std::pair<int, int>& key, const step_progress& step)
{
    json failures = json::array();
    for (const auto& [task, runs] : step.failures)
    {
        failures.push_back(json::array({task, ranges_of(runs)}));
    }
    return json::array({key.first, key.second, step.done.size(),
                        digits_of(step.done), failures});
}

step_progress step_of(const json& in)
{
    step_progress step;
    const auto tasks = in.at(2).get<std::size_t>();
    const auto digits = in.at(3).get<std::string>();
    if (tasks > max_tasks_per_step ||
        digits.size() != (tasks + tasks_per_digit - 1) / tasks_per_digit ||
        digits.find_first_not_of("0123456789abcdef") != std::string::npos)
    {
        throw json::other_error::create(501, "malformed list of tasks", &in);
    }
    for (std::size_t i = 0; i < tasks; ++i)
    {
        const char c = digits[i / tasks_per_digit];
        const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
        step.done.push_back(((digit >> (i % tasks_per_digit)) & 1) != 0);
    }
    for (const json& entry : in.at(4))
    {
        step.failures[entry.at(0).get<int>()] = runs_of(entry.at(1));
    }
    return step;
}

// The same as former versions stored it: a character 0 or 1 for each task.
step_progress former_step_of(const json& in)
{
    step_progress step;
    for (const char task : in.at(2).get<std::string>())
    {
        step.done.push_back(task == '1');
    }
    for (const json& entry : in.at(3))
    {
        step.failures[entry.at(0).get<int>()] = entry.at(1).get<failed_runs>();
    }
    return step;
}

// The names, or true for every service.
json to_json(const service_set& services)
{
    if (services.is_any())
    {
        return true;
    }
    json names = json::array();
    for (const base::service_id& service : services.names())
    {
        names.push_back(service.text());
    }
    return names;
}

service_set services_of(const json& in)
{
    if (in.is_boolean() && in.get<bool>())
    {
        return service_set::any();
    }
    service_set services;
    for (const json& name : in.get_ref<const json::array_t&>())
    {
        services.add(base::service_id(name.get<std::string>()));
    }
    return services;
}

} // namespace

std::string encode(const job_progress& value)
{
    json out = {{"state", std::string(name_of(value.state))}};
    if (!is_final(value.state) && !value.finished.empty())
    {
        json& finished = out["finished"] = json::array();
        for (const auto& [first, last] : value.finished.ranges())
        {
            finished.push_back(json::array({first, last}));
        }
    }
    if (!is_final(value.state) && !value.steps.empty())
    {
        json& steps = out["open"] = json::array();
        for (const auto& [key, step] : value.steps)
        {
            steps.push_back(to_json(key, step));
        }
    }
    if (!is_final(value.state) && value.services != service_set())
    {
        out["services"] = to_json(value.services);
    }
    return out.dump();
}

absl::StatusOr<job_progress> decode_progress(std::string_view text)
{
    try
    {
        const json in = json::parse(text);
        const auto state = state_named(in.at("state").get<std::string>());
        if (!state)
        {
            return base::make_error(base::error_kind::internal,
                                    "progress row: unknown job state");
        }
        job_progress value;
        value.state = *state;
        for (const json& range : in.value("finished", json::array()))
        {
            const int first = range.at(0).get<int>();
            const int last = range.at(1).get<int>();
            if (first < 0 || last < first || last >= max_repeats)
            {
                return base::make_error(base::error_kind::internal,
                                        "progress row: invalid range");
            }
            value.finished.insert_range(first, last);
        }
        for (const json& step : in.value("open", json::array()))
        {
            value.steps[{step.at(0).get<int>(), step.at(1).get<int>()}] =
                step_of(step);
        }
        if (in.contains("services"))
        {
            value.services = services_of(in.at("services"));
        }
        for (const json& step : in.value("steps", json::array()))
        {
            value.steps[{step.at(0).get<int>(), step.at(1).get<int>()}] =
                former_step_of(step);
        }
        return value;
    }
    catch (const json::exception& error)
    {
        return base::make_error(base::error_kind::internal,
                                std::string("progress row: ") + error.what());
    }
}

} // namespace coltsfootrack::jobs
