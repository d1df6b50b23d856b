#ifndef COLTSFOOTRACK_PLACEMENT_ACTION_TYPE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_ACTION_TYPE_HPP_INCLUDED

namespace coltsfootrack::placement
{

// What the caller of scheduler::step must do.
enum class action_type
{
    // Start the task on the worker with the token of the action.
    start,
    // Checkpoint the task and end it after the grace period. The task stays
    // booked until report_stopped, report_finished or report_failed.
    stop,
    // Limit the task to the size of the action. It uses more processor time
    // than the worker or the team has.
    throttle,
    // End the job as failed and never start it again; the detail says why. Its
    // remaining tasks are stopped by actions of their own.
    fail_job,
    // The last task of the job has ended and the scheduler has erased the job.
    // Not issued for a job that is cancelled while none of its tasks runs.
    complete
};

} // namespace coltsfootrack::placement

#endif
