#ifndef COLTSFOOTRACK_CONFIG_WORKLOAD_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_WORKLOAD_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/config/workload_kind.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::config
{

// The full state of a workload, from which jobs are submitted.
struct workload
{
    base::workload_id name;
    // The team that runs it and is charged for its use.
    base::team_id team;
    // Whether anyone may submit it, without a key or with any team's key; see
    // also queue.
    bool open = false;
    // The queue that it belongs to, or empty.
    std::string queue;
    workload_kind kind = workload_kind::batch;
    // The resources that one task requests.
    base::resources per_task;
    // Tasks of one job, 1 to 10000.
    std::uint32_t tasks = 1;
    // The declared run time of a task; zero for a service that does not end.
    std::chrono::milliseconds run_time{0};
    // No two runs of a task may overlap.
    bool exclusive = false;
    // Placed before work that is not urgent.
    bool urgent = false;
    // A deleted workload is not found; its row stays as a tombstone.
    bool deleted = false;

    // Whether a team may submit it with its key.
    bool accepts(const base::team_id& presenter) const
    {
        return open || presenter == team;
    }

    // All fields, for comparison.
    auto as_tuple() const
    {
        return std::tie(name, team, open, queue, kind, per_task, tasks,
                        run_time, exclusive, urgent, deleted);
    }

    friend bool operator==(const workload& a, const workload& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const workload& a, const workload& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
