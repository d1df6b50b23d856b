#ifndef COLTSFOOTRACK_FLEET_ORDER_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_ORDER_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/jobs/task_key.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootrack::fleet
{

// Starts one run on a worker.
struct start_order
{
    base::worker_id worker;
    jobs::task_key task;
    std::uint64_t run = 0;
    std::string payload;
    // The checkpoint to resume from; empty for none.
    std::string checkpoint;
    // The placement ticket; empty where none is needed.
    std::string ticket;
};

// Stops one run.
struct stop_order
{
    base::worker_id worker;
    jobs::task_key task;
    std::uint64_t run = 0;
};

// Throttles a run to a percentage of its speed.
struct pace_order
{
    base::worker_id worker;
    jobs::task_key task;
    std::uint64_t run = 0;
    int percent = 100;
};

// Asks which of the workers may run a step.
struct ticket_order
{
    jobs::step_key step;
    std::vector<base::worker_id> workers;
    // The expected latency of the answer.
    std::chrono::milliseconds expected{0};
    std::chrono::milliseconds valid_for{0};
};

// Stores the progress of a job.
struct save_order
{
    base::job_id job;
    // Increases with each change of the job; see fleet::on_saved.
    std::uint64_t change = 0;
    std::string text;
    // The job has reached a final state, and a caller may be waiting for it.
    bool urgent = false;
};

using order =
    std::variant<start_order, stop_order, pace_order, ticket_order, save_order>;

} // namespace coltsfootrack::fleet

#endif
