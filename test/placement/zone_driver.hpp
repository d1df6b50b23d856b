#ifndef COLTSFOOTRACK_TEST_PLACEMENT_ZONE_DRIVER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_PLACEMENT_ZONE_DRIVER_HPP_INCLUDED

#include <coltsfootrack/placement/scheduler.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coltsfootrack::placement
{

// A scheduler with simulated time that tracks the running tasks, for tests.
//
// Thread safety: none.
class zone_driver
{
public:
    explicit zone_driver(const scheduler_options& options = {})
        : zone(options, base::seeded_random(7))
    {
    }

    // Adds a team whose slice is its limit.
    void add_team(const std::string& name, const base::resources& limit,
                  std::int64_t weight = 1)
    {
        policies_.push_back({base::team_id(name), weight, limit});
        zone.set_teams(policies_);
        zone.set_quota(base::team_id(name), limit);
    }

    void add_worker(const std::string& name, const base::resources& capacity,
                    const std::string& rack = "r0")
    {
        zone.add_worker({base::worker_id(name), base::rack_id(rack), capacity});
    }

    static job_spec job(const std::string& name, const std::string& team,
                        job_kind kind, const base::resources& size,
                        std::uint32_t tasks = 1)
    {
        job_spec spec;
        spec.id = base::job_id(name);
        spec.team = base::team_id(team);
        spec.kind = kind;
        spec.task_size = size;
        spec.task_count = tasks;
        return spec;
    }

    absl::Status submit(const job_spec& spec)
    {
        return zone.submit(spec, now);
    }

    // Steps until nothing more is decided at this time.
    std::vector<action> step(std::size_t max_actions = 1000)
    {
        std::vector<action> all;
        do
        {
            for (action& decided : zone.step(now, max_actions))
            {
                if (decided.type == action_type::start)
                {
                    running[decided.task] = decided;
                }
                all.push_back(std::move(decided));
            }
        } while (zone.has_more());
        return all;
    }

    void advance(std::chrono::milliseconds span)
    {
        now += span;
    }

    static base::task_id task(const std::string& job, std::uint32_t index = 0)
    {
        return {base::job_id(job), index};
    }

    std::string worker_of(const std::string& job, std::uint32_t index = 0) const
    {
        const auto found = running.find(task(job, index));
        return found == running.end() ? "" : found->second.worker.text();
    }

    // Each reports the end of a running task. The id is taken by value, since
    // it may be a key of running, from which it is removed.
    bool finish(base::task_id ended)
    {
        const std::string token = remove_running(ended);
        return zone.report_finished(ended, token, now);
    }

    bool fail(base::task_id ended)
    {
        const std::string token = remove_running(ended);
        return zone.report_failed(ended, token, "exit status 1", now);
    }

    bool stop(base::task_id ended)
    {
        const std::string token = remove_running(ended);
        return zone.report_stopped(ended, token, now);
    }

    bool use(const base::task_id& measured, const base::resources& usage)
    {
        return zone.report_usage(measured, running.at(measured).token, usage,
                                 now);
    }

    static std::size_t count(const std::vector<action>& actions,
                             action_type type)
    {
        std::size_t result = 0;
        for (const action& decided : actions)
        {
            result += decided.type == type ? 1 : 0;
        }
        return result;
    }

    scheduler zone;
    base::time_point now{std::chrono::hours(1)};
    std::map<base::task_id, action> running;

private:
    std::string remove_running(const base::task_id& ended)
    {
        std::string token = running.at(ended).token;
        running.erase(ended);
        return token;
    }

    std::vector<team_policy> policies_;
};

} // namespace coltsfootrack::placement

#endif
