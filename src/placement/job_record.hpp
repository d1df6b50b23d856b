#ifndef COLTSFOOTRACK_PLACEMENT_JOB_RECORD_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_JOB_RECORD_HPP_INCLUDED

#include "handle.hpp"
#include "index_set.hpp"
#include "shape_key.hpp"
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
    // Cancelled or condemned; nothing starts any more.
    bool ending = false;
    bool condemned = false;
    // Known only from tasks that were found running.
    bool implicit = false;
    // A gang of which one task ended early; the others are being stopped.
    bool breaking = false;
    // Room is kept for the job.
    bool reserved = false;
    // Tasks for which room is being freed.
    std::uint32_t holds = 0;
    index_set waiting;
    // Failed tasks that wait for the end of the pause.
    std::uint32_t delayed = 0;
    std::uint32_t finished = 0;
    std::vector<handle> bookings;
    std::vector<task_failure> failures;
    // Running tasks per rack, only for jobs with rack spread.
    std::vector<std::uint32_t> rack_tasks;
    // The place in the queue of the team, if queued.
    bool queued = false;
    shape_key key;
    std::uint32_t counted_tasks = 0;
    base::resources counted_size;
};

} // namespace coltsfootrack::placement

#endif
