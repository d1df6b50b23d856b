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

// An accepted job as stored: written once, by the daemon that accepted it.
struct job_submission
{
    std::string queue;
    // Empty if the queue is open and the job was submitted without a key.
    base::team_id team;
    // The wall-clock time at the daemon that accepted the job.
    std::chrono::system_clock::time_point submitted;
    // The epoch of the leader that the daemon knew; 0 for none. Only that
    // leader may start the job before it knows the runs of every worker: an
    // earlier leader also reads the row, and may start the job on a worker that
    // a later leader has not heard from yet.
    std::uint64_t leader_epoch = 0;
    // The service of the queue in the catalogue of that daemon; empty in rows
    // of former versions. A leader that starts a task on another one stores
    // that first, in job_progress::services.
    base::service_id service;
    job_spec spec;

    friend bool operator==(const job_submission& a, const job_submission& b)
    {
        return std::tie(a.queue, a.team, a.submitted, a.leader_epoch, a.service,
                        a.spec) == std::tie(b.queue, b.team, b.submitted,
                                            b.leader_epoch, b.service, b.spec);
    }

    friend bool operator!=(const job_submission& a, const job_submission& b)
    {
        return !(a == b);
    }
};

// Returns the text of the stored row.
std::string encode(const job_submission& value);

// Parses the text of a stored row; an internal error if it is malformed.
absl::StatusOr<job_submission> decode_submission(std::string_view text);

} // namespace coltsfootrack::jobs

#endif
