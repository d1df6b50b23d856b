#ifndef COLTSFOOTRACK_DAEMON_RUNNING_TASK_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_RUNNING_TASK_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/base/task_id.hpp>

#include <string>

namespace coltsfootrack::daemon
{

// A task on a worker, as named in commands and in the worker's reports.
struct running_task
{
    base::task_id task;
    std::string token;
    base::team_id team;
    base::resources size;
    bool exclusive = false;
};

} // namespace coltsfootrack::daemon

#endif
