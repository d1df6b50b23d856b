#ifndef COLTSFOOTRACK_JOBS_JOB_SUBMISSION_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_SUBMISSION_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/jobs/job_spec.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfootrack::jobs
{

// An accepted job as it is stored: written once, by the daemon that took it.
struct job_submission
{
    std::string queue;
    // Empty if the queue is open to all and no key came with the job.
    base::team_id team;
    // The time of day at the daemon that took the job.
    std::chrono::system_clock::time_point submitted;
    job_spec spec;

    friend bool operator==(const job_submission& a, const job_submission& b)
    {
        return std::tie(a.queue, a.team, a.submitted, a.spec) ==
               std::tie(b.queue, b.team, b.submitted, b.spec);
    }

    friend bool operator!=(const job_submission& a, const job_submission& b)
    {
        return !(a == b);
    }
};

// The text of the stored row.
std::string encode(const job_submission& value);

// Reads the text of a stored row; internal if it is not one.
absl::StatusOr<job_submission> decode_submission(std::string_view text);

} // namespace coltsfootrack::jobs

#endif
