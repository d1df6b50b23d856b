#ifndef COLTSFOOTRACK_JOBS_JOB_PROGRESS_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_PROGRESS_HPP_INCLUDED

#include <coltsfootrack/jobs/job_state.hpp>
#include <coltsfootrack/jobs/step_progress.hpp>

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfootrack::jobs
{

// What is stored of the course of a job: written by the leader, and read by a
// new leader. A job without a row has not progressed.
struct job_progress
{
    job_state state = job_state::queued;
    // By occurrence and step.
    std::map<std::pair<int, int>, step_progress> steps;

    friend bool operator==(const job_progress& a, const job_progress& b)
    {
        return a.state == b.state && a.steps == b.steps;
    }

    friend bool operator!=(const job_progress& a, const job_progress& b)
    {
        return !(a == b);
    }
};

// The text of the stored row. A job in a final state keeps only that state.
std::string encode(const job_progress& value);

// Reads the text of a stored row; internal if it is not one.
absl::StatusOr<job_progress> decode_progress(std::string_view text);

} // namespace coltsfootrack::jobs

#endif
