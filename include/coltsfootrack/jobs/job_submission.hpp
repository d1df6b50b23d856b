#ifndef COLTSFOOTRACK_JOBS_JOB_SUBMISSION_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_JOB_SUBMISSION_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/jobs/job_spec.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
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
    // The epoch of the leader that the daemon knew; 0 for none. Only that
    // leader may start the job before it knows what runs on every worker: an
    // earlier one finds the row too, and may start it where a later one has
    // not looked yet.
    std::uint64_t leader_epoch = 0;
    job_spec spec;

    friend bool operator==(const job_submission& a, const job_submission& b)
    {
        return std::tie(a.queue, a.team, a.submitted, a.leader_epoch, a.spec) ==
               std::tie(b.queue, b.team, b.submitted, b.leader_epoch, b.spec);
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
