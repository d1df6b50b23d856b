#ifndef COLTSFOOTRACK_PLACEMENT_TASK_OUTCOME_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TASK_OUTCOME_HPP_INCLUDED

namespace coltsfootrack::placement
{

// How a booked task ended.
enum class task_outcome
{
    finished,
    // By a fault of the job or the worker.
    failed,
    // On request, or because its worker is gone.
    stopped
};

} // namespace coltsfootrack::placement

#endif
