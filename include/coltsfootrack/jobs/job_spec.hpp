#ifndef COLTSFOOTRACK_JOBS_JOB_SPEC_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_SPEC_HPP_INCLUDED

#include <coltsfootrack/jobs/step_spec.hpp>

#include <absl/status/status.h>
#include <chrono>
#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::jobs
{

// A job as a caller submits it.
struct job_spec
{
    // Passed to every task unchanged; at most max_payload_bytes.
    std::string payload;
    std::vector<step_spec> steps;
    // 0: the steps run once, immediately. Otherwise they run this many times,
    // and occurrence K is due at first_due + K * interval.
    int repeats = 0;
    std::chrono::system_clock::time_point first_due;
    std::chrono::milliseconds interval{0};

    // How many times the steps run; at least 1.
    int occurrences() const
    {
        return repeats > 0 ? repeats : 1;
    }

    bool has_schedule() const
    {
        return repeats > 0;
    }

    friend bool operator==(const job_spec& a, const job_spec& b)
    {
        return std::tie(a.payload, a.steps, a.repeats, a.first_due,
                        a.interval) ==
               std::tie(b.payload, b.steps, b.repeats, b.first_due, b.interval);
    }

    friend bool operator!=(const job_spec& a, const job_spec& b)
    {
        return !(a == b);
    }
};

// The limits of one job; a job beyond them is rejected as invalid_request.
constexpr std::size_t max_payload_bytes = 4000;
constexpr std::size_t max_steps = 200;
constexpr int max_tasks_per_step = 10000;
constexpr int max_repeats = 10000;

// The most tasks of one occurrence, since the leader keeps a record of each
// until it has ended. Later occurrences of a job begin only while those that
// have begun and not ended have no more tasks than this together.
constexpr std::size_t max_open_tasks = 20000;

// The same for the bytes of their stored progress, which has to fit into one
// row of the store together with the failures of their tasks.
constexpr std::size_t max_open_progress_bytes = 24000;

// The number of tasks of one occurrence.
std::size_t tasks_per_occurrence(const job_spec& spec);

// The most bytes that the stored progress of one occurrence takes, without
// failures.
std::size_t progress_bytes_per_occurrence(const job_spec& spec);

// How many occurrences may have begun and not ended at a time; at least 1.
std::size_t max_open_occurrences(const job_spec& spec);

// OK, or invalid_request with the first error: no steps, a negative amount, a
// dependency on the same or a later step, or a limit above that is exceeded.
absl::Status check(const job_spec& spec);

// The same without the limits on one occurrence as a whole, for a job that was
// accepted before there were any.
absl::Status check_stored(const job_spec& spec);

// For each step, the length of the longest path from its start to the end of
// the job: the sum of the estimates, plus `step_overhead` for every step.
std::vector<std::chrono::milliseconds>
remaining_paths(const job_spec& spec, std::chrono::milliseconds step_overhead);

// The longest of these: the least time that one occurrence takes, if nothing
// waits.
std::chrono::milliseconds
critical_path(const job_spec& spec, std::chrono::milliseconds step_overhead);

} // namespace coltsfootrack::jobs

#endif
