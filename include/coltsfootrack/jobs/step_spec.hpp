#ifndef COLTSFOOTRACK_JOBS_STEP_SPEC_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_STEP_SPEC_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <chrono>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::jobs
{

// One step of a job: a number of identical tasks that may start once the steps
// that it depends on are done.
struct step_spec
{
    int tasks = 1;
    // The resources that each task requests.
    base::resources need;
    // The caller's estimate of the run time of one task; often inaccurate.
    std::chrono::milliseconds estimate{0};
    // The numbers of earlier steps whose tasks must all be done.
    std::vector<int> after;
    // A task reports checkpoints, and a later run can resume from one.
    bool checkpoints = false;
    // The tasks can only run all together, and finish together.
    bool gang = false;
    // The gang runs faster when all its tasks are on one rack.
    bool same_rack = false;
    // A label that the worker must have; empty for none.
    std::string required_label;
    // The rack that holds the data; empty for none.
    std::string data_rack;
    // The most tasks of the step on one worker; 0 for no limit.
    int max_per_worker = 0;
    // Several runs of a task may execute at the same time.
    bool copies_allowed = false;
    // The tasks run until the job is cancelled and are restarted whenever they
    // end.
    bool standing = false;
    // The program image. Tasks of one image behave alike.
    std::string image;
    // The tail latency that a standing task must stay below; 0 for none.
    std::chrono::milliseconds latency_target{0};
    // Best-effort tasks, which use what others leave free: their CPU does not
    // count against the capacity of the worker.
    bool uses_leftover = false;
    // How many standing tasks the scheduler may make unavailable at once.
    int disruption_budget = 0;
    // Whether the caller set a disruption budget.
    bool has_disruption_budget = false;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(tasks, need, estimate, after, checkpoints, gang,
                        same_rack, required_label, data_rack, max_per_worker,
                        copies_allowed, standing, image, latency_target,
                        uses_leftover, disruption_budget,
                        has_disruption_budget);
    }

    friend bool operator==(const step_spec& a, const step_spec& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const step_spec& a, const step_spec& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::jobs

#endif
