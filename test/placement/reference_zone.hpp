#ifndef COLTSFOOTRACK_TEST_PLACEMENT_REFERENCE_ZONE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_PLACEMENT_REFERENCE_ZONE_HPP_INCLUDED

#include <coltsfootrack/placement/action.hpp>
#include <coltsfootrack/placement/job_spec.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::placement
{

// A reference model of a zone: it recomputes everything from the running tasks
// at each call, and shares no code with the scheduler. It checks each action
// against the rules, and says which job must start next when preemption,
// reservations, the keeping of accelerators and quarantine are off.
//
// Thread safety: none.
class reference_zone
{
public:
    struct running_task
    {
        std::string worker;
        std::string token;
        base::resources size;
        bool stopping = false;
    };

    struct known_job
    {
        job_spec spec;
        std::set<std::uint32_t> waiting;
        std::map<std::uint32_t, running_task> running;
        bool ending = false;
    };

    struct known_worker
    {
        base::resources capacity;
        bool live = true;
    };

    struct known_team
    {
        base::resources slice;
        std::int64_t weight = 1;
    };

    std::map<std::string, known_worker> workers;
    std::map<std::string, known_team> teams;
    std::map<std::string, known_job> jobs;
    // The names of jobs in the order of submission.
    std::vector<std::string> order;
    // The names of all jobs ever submitted.
    std::set<std::string> submitted;

    void submit(const job_spec& spec);
    void cancel(const std::string& job);
    // Ends a running task; what has not finished waits again.
    void end(const std::string& job, std::uint32_t index, bool finished);
    void remove_worker(const std::string& worker);

    // Applies an action. Returns which rule it breaks, or an empty string.
    std::string apply(const action& decided);

    // The job that must start next, or nothing if none can start.
    std::optional<std::string> next_job() const;

    // All running tasks, in the order of their names.
    std::vector<std::pair<std::string, std::uint32_t>> running() const;

    base::resources used_by(const std::string& team) const;

private:
    base::resources used_on(const std::string& worker) const;
    bool can_start(const known_job& job) const;
    double share_of(const std::string& team) const;
    void erase_if_ended(const std::string& job);
};

} // namespace coltsfootrack::placement

#endif
