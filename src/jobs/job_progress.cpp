// Stored format of the progress of a job.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/jobs/job_progress.hpp>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootrack::jobs
{
namespace
{

using nlohmann::json;

// One entry of the list: occurrence, step, whether each task is done as a
// string of 0 and 1, and the failures as [task, [run...]].
json to_json(const std::pair<int, int>& key, const step_progress& step)
{
    std::string done;
    for (const bool task : step.done)
    {
        done += task ? '1' : '0';
    }
    json failures = json::array();
    for (const auto& [task, runs] : step.failures)
    {
        failures.push_back(json::array({task, runs}));
    }
    return json::array({key.first, key.second, done, failures});
}

step_progress step_of(const json& in)
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

} // namespace

std::string encode(const job_progress& value)
{
    json out = {{"state", std::string(name_of(value.state))}};
    if (!is_final(value.state) && !value.steps.empty())
    {
        json& steps = out["steps"] = json::array();
        for (const auto& [key, step] : value.steps)
        {
            steps.push_back(to_json(key, step));
        }
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
        if (in.contains("steps"))
        {
            for (const json& step : in.at("steps"))
            {
                value.steps[{step.at(0).get<int>(), step.at(1).get<int>()}] =
                    step_of(step);
            }
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
