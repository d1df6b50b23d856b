#ifndef COLTSFOOTRACK_PLACEMENT_RESTORED_TASK_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_RESTORED_TASK_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/base/task_id.hpp>

#include <string>

namespace coltsfootrack::placement
{

// A task that a worker reported as running when it was adopted after a
// takeover.
struct restored_task
{
    base::task_id task;
    base::worker_id worker;
    // The token of the start command.
    std::string token;
    // What the task was started with.
    base::resources size;
    base::team_id team;
    bool exclusive = false;
    // When the task started; the time of adoption if that is unknown.
    base::time_point started;
};

} // namespace coltsfootrack::placement

#endif
