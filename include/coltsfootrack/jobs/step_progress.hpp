#ifndef COLTSFOOTRACK_JOBS_STEP_PROGRESS_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_STEP_PROGRESS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace coltsfootrack::jobs
{

// The numbers of the failed runs of one task. A set, so that each failure
// counts once even if its end is reported repeatedly or out of order: a worker
// that was unreachable reports the end of an early run after that of a later
// one.
using failed_runs = std::set<std::uint64_t>;

// The completed tasks and failed runs of one step of one occurrence. Empty for
// a step without any.
struct step_progress
{
    // One entry per task.
    std::vector<bool> done;
    std::map<int, failed_runs> failures;

    friend bool operator==(const step_progress& a, const step_progress& b)
    {
        return a.done == b.done && a.failures == b.failures;
    }

    friend bool operator!=(const step_progress& a, const step_progress& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::jobs

#endif
