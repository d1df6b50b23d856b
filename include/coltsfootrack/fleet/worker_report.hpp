#ifndef COLTSFOOTRACK_FLEET_WORKER_REPORT_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_REPORT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/fleet/run_end.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::fleet
{

// A run that a worker lists as running.
struct listed_run
{
    jobs::task_key task;
    std::uint64_t run = 0;
    std::string checkpoint;
    // The progress of the task.
    int percent = 0;
    // Of a standing task with a latency target its tail in milliseconds, of
    // any other the processors in use, in thousandths of a core.
    double load = 0;

    friend bool operator==(const listed_run& a, const listed_run& b)
    {
        return std::tie(a.task, a.run, a.checkpoint, a.percent, a.load) ==
               std::tie(b.task, b.run, b.checkpoint, b.percent, b.load);
    }

    friend bool operator!=(const listed_run& a, const listed_run& b)
    {
        return !(a == b);
    }
};

// The answer of a worker to a renewal of its lease.
struct worker_report
{
    // The start of this life of the worker; another value means that it runs
    // and remembers nothing of before. 0 if the worker does not say.
    std::int64_t life = 0;
    // The worker's own monotonic clock.
    std::chrono::milliseconds clock{0};
    std::vector<listed_run> running;
    std::vector<run_end> ended;
    // Whether the worker has no further ends: a list has room for some only.
    bool all_ends = true;
    // When the request was sent, on the clock of the daemon.
    base::time_point sent_at;

    friend bool operator==(const worker_report& a, const worker_report& b)
    {
        return std::tie(a.life, a.clock, a.running, a.ended, a.all_ends,
                        a.sent_at) == std::tie(b.life, b.clock, b.running,
                                               b.ended, b.all_ends, b.sent_at);
    }

    friend bool operator!=(const worker_report& a, const worker_report& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
