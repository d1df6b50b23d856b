#ifndef COLTSFOOTRACK_PLACEMENT_JOB_SPEC_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_JOB_SPEC_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/placement/job_kind.hpp>

#include <cstdint>
#include <tuple>

namespace coltsfootrack::placement
{

// A job as a team submits it: task_count equal tasks, with the indexes 0 to
// task_count - 1.
struct job_spec
{
    base::job_id id;
    base::team_id team;
    base::workload_id workload;
    job_kind kind = job_kind::batch;
    // The tasks must start within seconds; batch work is preempted for them.
    bool urgent = false;
    // A task must never run in two places; it is preempted only if nothing
    // else helps.
    bool exclusive = false;
    // What one task needs.
    base::resources task_size;
    std::uint32_t task_count = 1;
    // The declared run time of one task; zero if unknown. It is an estimate
    // that decides which tasks may be backfilled; only those are stopped for
    // exceeding it.
    base::duration run_time{};
    // The tasks are distributed over racks as evenly as free room allows, so
    // that the loss of one rack leaves most of them.
    bool rack_spread = false;

    friend bool operator==(const job_spec& a, const job_spec& b)
    {
        return std::tie(a.id, a.team, a.workload, a.kind, a.urgent, a.exclusive,
                        a.task_size, a.task_count, a.run_time, a.rack_spread) ==
               std::tie(b.id, b.team, b.workload, b.kind, b.urgent, b.exclusive,
                        b.task_size, b.task_count, b.run_time, b.rack_spread);
    }

    friend bool operator!=(const job_spec& a, const job_spec& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::placement

#endif
