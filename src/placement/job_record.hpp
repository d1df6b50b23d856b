#ifndef COLTSFOOTRACK_PLACEMENT_JOB_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_JOB_RECORD_HPP_INCLUDED

#include "equivalence_key.hpp"
#include "handle.hpp"
#include "index_set.hpp"
#include "task_failure.hpp"
#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/job_spec.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::placement
{

// A job that has not ended.
struct job_record
{
    job_spec spec;
    // What one task is started with: the declared size, or more if a task was
    // stopped because it used more.
    base::resources size;
    // The order of submission, from 1; unique.
    std::uint64_t sequence = 0;
    base::time_point submitted;
    handle team = no_handle;
    // Cancelled or failed; no more tasks are started.
    bool ending = false;
    bool failed = false;
    // Known only from running tasks that were restored; not yet submitted.
    bool implicit = false;
    // A gang of which one task ended early; the others are being stopped.
    bool breaking = false;
    // Whether the job has a reservation.
    bool reserved = false;
    // The number of preemption holds for the job.
    std::uint32_t holds = 0;
    index_set waiting;
    // Failed tasks that wait for the end of their backoff.
    std::uint32_t delayed = 0;
    std::uint32_t finished = 0;
    std::vector<handle> bookings;
    std::vector<task_failure> failures;
    // Running tasks per rack, only for jobs with rack spread.
    std::vector<std::uint32_t> rack_tasks;
    // The position in the team's queue, if queued, and what the team's totals
    // count as waiting for this job.
    bool queued = false;
    equivalence_key key;
    std::uint32_t counted_tasks = 0;
    base::resources counted_size;
};

} // namespace coltsfootrack::placement

#endif
