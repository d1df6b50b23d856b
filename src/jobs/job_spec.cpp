// Validation of a job, and its critical path.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/jobs/job_spec.hpp>

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::jobs
{
namespace
{

absl::Status invalid(const std::string& detail)
{
    return base::make_error(base::error_kind::invalid_request, detail);
}

absl::Status check_step(const step_spec& step, int number)
{
    if (step.tasks < 1 || step.tasks > max_tasks_per_step)
    {
        return invalid(fmt::format("step {}: the number of tasks must be 1 to "
                                   "{}",
                                   number, max_tasks_per_step));
    }
    if (!step.need.is_valid() || step.estimate.count() < 0 ||
        step.latency_target.count() < 0 || step.max_per_worker < 0 ||
        step.disruption_budget < 0)
    {
        return invalid(fmt::format("step {}: an amount is negative", number));
    }
    const bool ordered = std::all_of(
        step.after.begin(), step.after.end(),
        [&](int earlier) { return earlier >= 0 && earlier < number; });
    if (!ordered)
    {
        return invalid(
            fmt::format("step {}: may only depend on earlier steps", number));
    }
    return absl::OkStatus();
}

// The longest texts of a stored range of finished occurrences, and of a stored
// step besides its digits: [9999,9999], and [9999,199,10000,"",[]],
constexpr std::size_t range_bytes = 12;
constexpr std::size_t step_bytes = 24;
constexpr std::size_t tasks_per_byte = 4;

} // namespace

std::size_t tasks_per_occurrence(const job_spec& spec)
{
    std::size_t tasks = 0;
    for (const step_spec& step : spec.steps)
    {
        tasks += static_cast<std::size_t>(step.tasks);
    }
    return tasks;
}

std::size_t progress_bytes_per_occurrence(const job_spec& spec)
{
    std::size_t bytes = range_bytes;
    for (const step_spec& step : spec.steps)
    {
        bytes += step_bytes +
                 (static_cast<std::size_t>(step.tasks) + tasks_per_byte - 1) /
                     tasks_per_byte;
    }
    return bytes;
}

std::size_t max_open_occurrences(const job_spec& spec)
{
    const std::size_t most =
        std::min(max_open_tasks / tasks_per_occurrence(spec),
                 max_open_progress_bytes / progress_bytes_per_occurrence(spec));
    return std::max<std::size_t>(most, 1);
}

absl::Status check_stored(const job_spec& spec)
{
    if (spec.payload.size() > max_payload_bytes)
    {
        return invalid(fmt::format("the payload is longer than {} bytes",
                                   max_payload_bytes));
    }
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        return invalid(fmt::format("a job has 1 to {} steps", max_steps));
    }
    if (spec.repeats < 0 || spec.repeats > max_repeats ||
        spec.interval.count() < 0)
    {
        return invalid(
            fmt::format("a job repeats at most {} times", max_repeats));
    }
    for (std::size_t i = 0; i < spec.steps.size(); ++i)
    {
        absl::Status status = check_step(spec.steps[i], static_cast<int>(i));
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status check(const job_spec& spec)
{
    absl::Status status = check_stored(spec);
    if (!status.ok())
    {
        return status;
    }
    if (tasks_per_occurrence(spec) > max_open_tasks ||
        progress_bytes_per_occurrence(spec) > max_open_progress_bytes)
    {
        return invalid(fmt::format("the steps have {} tasks together; the most "
                                   "is {}",
                                   tasks_per_occurrence(spec), max_open_tasks));
    }
    return absl::OkStatus();
}

std::vector<std::chrono::milliseconds>
remaining_paths(const job_spec& spec, std::chrono::milliseconds step_overhead)
{
    std::vector<std::chrono::milliseconds> paths(spec.steps.size(),
                                                 std::chrono::milliseconds(0));
    // Steps depend on earlier ones only, so in reverse order the dependents of
    // a step come before it. paths[i] excludes step i until the loop reaches
    // it.
    for (std::size_t i = spec.steps.size(); i-- > 0;)
    {
        paths[i] += spec.steps[i].estimate + step_overhead;
        for (const int earlier : spec.steps[i].after)
        {
            auto& path = paths[static_cast<std::size_t>(earlier)];
            path = std::max(path, paths[i]);
        }
    }
    return paths;
}

std::chrono::milliseconds critical_path(const job_spec& spec,
                                        std::chrono::milliseconds step_overhead)
{
    const auto paths = remaining_paths(spec, step_overhead);
    return paths.empty() ? std::chrono::milliseconds(0)
                         : *std::max_element(paths.begin(), paths.end());
}

} // namespace coltsfootrack::jobs
