// Checks invariants of every start order under random loads and faults, against
// the actual runs of the replayed workers and with accounting independent of
// the fleet's.

#include "fleet_replay.hpp"

#include <coltsfootrack/base/log.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::service_id service("s");

// Replays jobs and faults drawn from a seed, and checks the invariants.
class random_replay
{
public:
    explicit random_replay(unsigned seed)
        : random_(seed)
    {
        add_queues();
        add_teams();
        add_workers();
        add_jobs();
        add_faults();
        replay_.on_start = [this](const start_order& next)
        {
            check_start(next);
        };
        replay_.on_end =
            [this](const base::worker_id& /*worker*/, const run_end& end)
        {
            if (end.kind == end_kind::done)
            {
                note_done(end.task);
            }
        };
    }

    random_replay(const random_replay&) = delete;
    random_replay& operator=(const random_replay&) = delete;

    // Returns the first violation, or an empty text.
    std::string run()
    {
        // Long enough to finish all jobs of a team with the smallest limit.
        replay_.run(milliseconds(120000));
        for (const auto& [id, job] : replay_.jobs())
        {
            if (!job.finished)
            {
                record_violation(id + ": not finished");
            }
        }
        return violation_;
    }

private:
    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    static base::resources cores(int count)
    {
        return base::resources{1000, 0, 0} * count;
    }

    bool chance(int percent)
    {
        return between(1, 100) <= percent;
    }

    void add_queues()
    {
        for (int priority = 0; priority < 3; ++priority)
        {
            queue_policy queue;
            queue.name = "q" + std::to_string(priority);
            queue.service = service;
            queue.priority = priority;
            queue.max_attempts = 50;
            queue.stretch = 1.5 + priority;
            queue.slack = milliseconds(400 * (priority + 1));
            if (chance(50))
            {
                queue.tickets = ticket_policy();
                queue.tickets->decide_time = milliseconds(between(5, 200));
                queue.tickets->valid_for = milliseconds(2000);
            }
            replay_.add_queue(queue);
        }
    }

    void add_teams()
    {
        for (int i = 0; i < 2; ++i)
        {
            team_policy team;
            team.team = base::team_id("t" + std::to_string(i));
            team.limit = cores(between(8, 30)) + base::resources{0, 0, 8};
            limits_[team.team.text()] = team.limit;
            replay_.add_team(team);
        }
    }

    void add_workers()
    {
        workers_ = between(4, 10);
        for (int i = 0; i < workers_; ++i)
        {
            replay_.add_worker("w" + std::to_string(10 + i), service,
                               cores(between(6, 16)) +
                                   base::resources{0, 20000, 8},
                               "r" + std::to_string(i / 3));
        }
    }

    jobs::step_spec any_step()
    {
        jobs::step_spec step;
        step.tasks = between(1, 5);
        step.need = base::resources{500, 100, 0} * between(1, 5);
        step.need.accelerators = chance(20) ? between(1, 2) : 0;
        step.estimate = milliseconds(between(100, 2000));
        step.checkpoints = chance(50);
        step.gang = chance(20);
        step.same_rack = step.gang && chance(30);
        step.max_per_worker = chance(20) ? 2 : 0;
        step.uses_leftover = !step.gang && chance(5);
        if (step.gang)
        {
            step.tasks = std::min(step.tasks, 3);
        }
        return step;
    }

    void add_jobs()
    {
        const int count = between(10, 60);
        for (int i = 0; i < count; ++i)
        {
            std::vector<jobs::step_spec> steps;
            const int size = between(1, 3);
            for (int s = 0; s < size; ++s)
            {
                steps.push_back(any_step());
                if (s > 0 && chance(70))
                {
                    steps.back().after = {between(0, s - 1)};
                }
            }
            const std::string id = "job" + std::to_string(1000 + i);
            specs_[id] = steps;
            teams_[id] = "t" + std::to_string(between(0, 1));
            replay_.submit(milliseconds(between(0, 8000)), id,
                           "q" + std::to_string(between(0, 2)), steps,
                           teams_[id]);
        }
    }

    void add_faults()
    {
        if (chance(40))
        {
            replay_.lose_worker(milliseconds(between(1000, 9000)), "w10");
        }
        if (chance(40))
        {
            replay_.restart_worker(milliseconds(between(1000, 9000)), "w11");
        }
        if (chance(30))
        {
            replay_.slow_worker("w12", 3);
        }
        if (chance(30))
        {
            replay_.cancel(milliseconds(between(500, 9000)), "job1003");
        }
        if (chance(40))
        {
            replay_.fails = [this](const start_order& /*order*/)
            {
                return chance(5);
            };
        }
        if (chance(50))
        {
            replay_.fate = [this](const start_order& /*order*/)
            {
                const int drawn = between(1, 100);
                if (drawn <= 5)
                {
                    return fleet_replay::start_fate::lost;
                }
                return drawn <= 10 ? fleet_replay::start_fate::unanswered
                                   : fleet_replay::start_fate::carried_out;
            };
        }
    }

    void note_done(const jobs::task_key& task)
    {
        const jobs::step_spec& step = spec_of(task);
        for (int i = 0; i < step.tasks; ++i)
        {
            if (step.gang || i == task.index)
            {
                done_.insert({task.step, i});
            }
        }
    }

    const jobs::step_spec& spec_of(const jobs::task_key& task) const
    {
        return specs_.at(
            task.step.job.text())[static_cast<std::size_t>(task.step.step)];
    }

    void record_violation(const std::string& what)
    {
        if (violation_.empty())
        {
            violation_ = what + ", at " + std::to_string(replay_.now().count());
        }
    }

    void check_start(const start_order& next)
    {
        const std::string id = next.task.step.job.text();
        if (done_.count(next.task) != 0)
        {
            record_violation(id + ": started a task that is done");
        }
        for (const int earlier : spec_of(next.task).after)
        {
            jobs::task_key key = next.task;
            key.step.step = earlier;
            const int tasks = spec_of(key).tasks;
            for (key.index = 0; key.index < tasks; ++key.index)
            {
                if (done_.count(key) == 0)
                {
                    record_violation(
                        id + ": started a step before one that it depends on");
                }
            }
        }
        std::uint64_t& highest = highest_[next.task];
        if (next.run <= highest)
        {
            record_violation(id + ": the run number did not increase");
        }
        highest = next.run;
        check_resources(next);
    }

    void check_resources(const start_order& next)
    {
        const std::string id = next.task.step.job.text();
        const jobs::step_spec& step = spec_of(next.task);
        base::resources on_worker = room_of(step);
        base::resources of_team = step.need;
        int same_step_tasks = 1;
        for (const fleet_replay::observed_run& run : replay_.runs())
        {
            if (run.lapsed)
            {
                continue;
            }
            const jobs::step_spec& other = spec_of(run.task);
            if (run.task == next.task)
            {
                record_violation(id + ": started a second run of a task");
            }
            if (run.worker == next.worker.text())
            {
                on_worker += room_of(other);
                same_step_tasks += run.task.step == next.task.step ? 1 : 0;
            }
            if (teams_.at(run.task.step.job.text()) == teams_.at(id))
            {
                of_team += other.need;
            }
        }
        if (!on_worker.fits_in(replay_.listing(next.worker.text()).capacity))
        {
            record_violation(id + ": exceeded the capacity of a worker");
        }
        const base::resources& limit = limits_.at(teams_.at(id));
        if (of_team.cpu_milli > limit.cpu_milli ||
            of_team.accelerators > limit.accelerators)
        {
            record_violation(id + ": exceeded the limit of a team");
        }
        if (step.max_per_worker > 0 && same_step_tasks > step.max_per_worker)
        {
            record_violation(id + ": exceeded max_per_worker");
        }
    }

    static base::resources room_of(const jobs::step_spec& step)
    {
        base::resources room = step.need;
        room.cpu_milli = step.uses_leftover ? 0 : room.cpu_milli;
        return room;
    }

    std::mt19937 random_;
    fleet_replay replay_;
    int workers_ = 0;
    std::map<std::string, std::vector<jobs::step_spec>> specs_;
    std::map<std::string, std::string> teams_;
    std::map<std::string, base::resources> limits_;
    std::set<jobs::task_key> done_;
    std::map<jobs::task_key, std::uint64_t> highest_;
    std::string violation_;
};

} // namespace

class invariant_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(invariant_test);
    CPPUNIT_TEST(random_loads_and_faults_violate_no_invariant);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_loads_and_faults_violate_no_invariant()
    {
        base::set_log_level(base::log_level::error);
        for (unsigned seed = 1; seed <= 60; ++seed)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                         std::string(),
                                         random_replay(seed).run());
        }
        base::set_log_level(base::log_level::info);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invariant_test);

} // namespace coltsfootrack::fleet
