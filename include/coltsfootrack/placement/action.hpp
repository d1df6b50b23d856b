#ifndef COLTSFOOTRACK_PLACEMENT_ACTION_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_ACTION_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/base/task_id.hpp>
#include <coltsfootrack/placement/action_type.hpp>
#include <coltsfootrack/placement/job_kind.hpp>
#include <coltsfootrack/placement/stop_reason.hpp>

#include <string>

namespace coltsfootrack::placement
{

// One decision of the scheduler, with all that the caller needs to carry it
// out. fail_job and complete concern a job: worker, token and size are empty
// and the index of the task is 0.
struct action
{
    action_type type = action_type::start;
    base::task_id task;
    base::worker_id worker;
    // Unique for each start of a task. It is the idempotency key of the start
    // command.
    std::string token;
    base::team_id team;
    base::workload_id workload;
    job_kind kind = job_kind::batch;
    bool urgent = false;
    bool exclusive = false;
    // start: what is booked. throttle: what the task may use.
    base::resources size;
    // start: the declared run time.
    base::duration run_time{};
    // stop: the grace period for the checkpoint.
    base::duration grace{};
    // stop: why.
    stop_reason reason = stop_reason::none;
    // fail_job: why, for the owner of the job.
    std::string detail;
};

} // namespace coltsfootrack::placement

#endif
