#ifndef COLTSFOOTRACK_JOBS_JOB_PROGRESS_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_PROGRESS_HPP_INCLUDED

#include <coltsfootrack/jobs/index_ranges.hpp>
#include <coltsfootrack/jobs/job_state.hpp>
#include <coltsfootrack/jobs/service_set.hpp>
#include <coltsfootrack/jobs/step_progress.hpp>

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace coltsfootrack::jobs
{

// The stored progress of a job: written by the leader, and read by its
// successor. A job without a row has not progressed.
struct job_progress
{
    job_state state = job_state::queued;
    // The occurrences of which all tasks are done.
    index_ranges finished;
    // The steps of the others, keyed by occurrence and step.
    std::map<std::pair<int, int>, step_progress> steps;
    // The services on which tasks may have been started, besides that of the
    // submission.
    service_set services;

    friend bool operator==(const job_progress& a, const job_progress& b)
    {
        return std::tie(a.state, a.finished, a.steps, a.services) ==
               std::tie(b.state, b.finished, b.steps, b.services);
    }

    friend bool operator!=(const job_progress& a, const job_progress& b)
    {
        return !(a == b);
    }
};

// Returns the text of the stored row. For a job in a final state, only that
// state is stored.
std::string encode(const job_progress& value);

// Parses the text of a stored row; an internal error if it is malformed.
absl::StatusOr<job_progress> decode_progress(std::string_view text);

} // namespace coltsfootrack::jobs

#endif
