#ifndef COLTSFOOTRACK_FLEET_RUN_END_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_RUN_END_HPP_INCLUDED

#include <coltsfootrack/jobs/task_key.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfootrack::fleet
{

// How a run ended.
enum class end_kind
{
    done,
    // Through a fault of the task or of its worker.
    failed,
    // On an order of the scheduler.
    stopped,
    // The lease of the worker passed.
    lapsed,
    // Another member of the gang ended.
    broken,
    // The other members of the gang did not come.
    alone
};

// The name in log lines, for example "lapsed".
std::string_view name_of(end_kind kind);

// An end as a worker lists it, until it is acknowledged.
struct run_end
{
    // Counts the ends of one life of the worker from 1.
    std::uint64_t number = 0;
    jobs::task_key task;
    std::uint64_t run = 0;
    end_kind kind = end_kind::done;
    // The last checkpoint; empty for none.
    std::string checkpoint;

    friend bool operator==(const run_end& a, const run_end& b)
    {
        return std::tie(a.number, a.task, a.run, a.kind, a.checkpoint) ==
               std::tie(b.number, b.task, b.run, b.kind, b.checkpoint);
    }

    friend bool operator!=(const run_end& a, const run_end& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
