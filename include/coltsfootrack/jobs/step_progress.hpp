#ifndef COLTSFOOTRACK_JOBS_STEP_PROGRESS_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_STEP_PROGRESS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <vector>

namespace coltsfootrack::jobs
{

// The failed runs of one task. A run is counted once, however often its end is
// reported: runs of a task rise, and only those above last_run are new.
struct failure_count
{
    int runs = 0;
    std::uint64_t last_run = 0;

    friend bool operator==(const failure_count& a, const failure_count& b)
    {
        return a.runs == b.runs && a.last_run == b.last_run;
    }

    friend bool operator!=(const failure_count& a, const failure_count& b)
    {
        return !(a == b);
    }
};

// What has ended of one step of one occurrence. Empty for a step of which
// nothing has ended.
struct step_progress
{
    // One entry a task.
    std::vector<bool> done;
    std::map<int, failure_count> failures;

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
