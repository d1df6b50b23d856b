#ifndef COLTSFOOTRACK_FLEET_RUN_END_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_RUN_END_HPP_INCLUDED

#include <coltsfootrack/jobs/task_key.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfootrack::fleet
{

// Why a run ended, in the kinds of the platform.
enum class end_kind
{
    done,
    // The task or its worker failed.
    failed,
    // Stopped by an order of the scheduler.
    stopped,
    // The lease of the worker expired.
    lapsed,
    // Another member of the gang ended.
    broken,
    // The other members of the gang did not start in time.
    alone
};

// The name in log lines, for example "lapsed".
std::string_view name_of(end_kind kind);

// The end of a run, which its worker reports until it is acknowledged.
struct run_end
{
    // Sequence number among the ends of one life of the worker, from 1.
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
