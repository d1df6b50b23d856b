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
    // For a standing task with a latency target, its tail latency in
    // milliseconds; for any other, its CPU use in thousandths of a core.
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

// The answer of a worker to a lease renewal.
struct worker_report
{
    // Identifies the incarnation of the worker by its start time; a changed
    // value means that it restarted and lost all state. 0 if not reported.
    std::int64_t life = 0;
    // The worker's own monotonic clock.
    std::chrono::milliseconds clock{0};
    std::vector<listed_run> running;
    std::vector<run_end> ended;
    // Whether `ended` is complete: its length is limited.
    bool all_ends = true;
    // When the renewal was sent, on the clock of the daemon.
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
