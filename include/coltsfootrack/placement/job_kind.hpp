#ifndef COLTSFOOTRACK_PLACEMENT_JOB_KIND_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_JOB_KIND_HPP_INCLUDED

namespace coltsfootrack::placement
{

// How the tasks of a job run.
enum class job_kind
{
    // Tasks run until the job is cancelled. They are placed before batch work
    // and are never preempted.
    service,
    // Each task runs and ends independently.
    batch,
    // All tasks must run at the same time.
    gang
};

} // namespace coltsfootrack::placement

#endif
