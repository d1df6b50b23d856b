// Tests of gangs that wait beside other work. Guards against capacity that is
// kept from all others for a gang that cannot start with it (review/6).

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

constexpr int workers = 4;
constexpr std::int64_t worker_cpu = 16000;

// Four equal workers, and a queue of a lower priority beside that of the gangs.
class studio_fixture : public fleet_fixture
{
public:
    explicit studio_fixture(std::uint64_t epoch = 1)
        : fleet_fixture(epoch)
    {
        queue_.stretch = 20;
        queue_policy check = queue_;
        check.name = "check";
        check.priority = 2;
        check.stretch = 40;
        other_queues_.push_back(check);
        apply();
        for (int i = 0; i < workers; ++i)
        {
            add_ready_worker(name(i), worker_cpu);
        }
    }

    static std::string name(int index)
    {
        return "w" + std::to_string(index);
    }

    static jobs::step_spec gang(int tasks, const base::resources& need)
    {
        jobs::step_spec made = step(tasks, 0);
        made.need = need;
        made.gang = true;
        made.estimate = milliseconds(16500);
        return made;
    }

    std::size_t starts_of(const std::string& job) const
    {
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(),
            [&](const start_order& start)
            { return start.task.step.job == base::job_id(job); }));
    }

    void add_check(const std::string& id, int tasks, std::int64_t cpu)
    {
        add_job(id, {step(tasks, cpu)}, false, {}, "check");
    }

    // Fills every worker with tasks of the other queue, which are at 40 of 100.
    void fill(bool checkpoints, milliseconds estimate)
    {
        jobs::step_spec filling = step(workers * 4, worker_cpu / 4);
        filling.checkpoints = checkpoints;
        filling.estimate = estimate;
        add_job("fill", {filling}, false, {}, "check");
        run_round();
        confirm_starts();
        advance(milliseconds(2000));
        for (int i = 0; i < workers; ++i)
        {
            report_filled(i);
        }
    }

    void report_filled(int index)
    {
        std::vector<listed_run> runs;
        for (const start_order& start : starts)
        {
            if (start.worker == base::worker_id(name(index)) &&
                start.task.step.job == base::job_id("fill"))
            {
                runs.push_back(running(start.task, start.run));
                runs.back().percent = 40;
            }
        }
        report(name(index), runs);
    }
};

} // namespace

class gang_room_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gang_room_test);
    CPPUNIT_TEST(gang_without_room_for_all_keeps_nothing_from_others);
    CPPUNIT_TEST(inherited_gang_without_room_keeps_nothing_from_others);
    CPPUNIT_TEST(gang_without_room_keeps_no_worker_from_others);
    CPPUNIT_TEST(gang_without_room_for_all_preempts_nothing);
    CPPUNIT_TEST(gang_with_room_for_all_preempts_for_all);
    CPPUNIT_TEST(gang_that_has_room_soon_gets_its_workers);
    CPPUNIT_TEST(gang_beyond_limit_of_team_reserves_nothing);
    CPPUNIT_TEST(step_without_room_for_all_claims_no_limit_for_the_rest);
    CPPUNIT_TEST_SUITE_END();

public:
    // One task too many, in each resource, and for the limit for each worker;
    // also far too many, and several such gangs.
    void gang_without_room_for_all_keeps_nothing_from_others()
    {
        jobs::step_spec spread =
            studio_fixture::gang(workers + 1, {1000, 1, 0});
        spread.max_per_worker = 1;
        const std::vector<jobs::step_spec> gangs = {
            studio_fixture::gang(36, {2000, 100, 0}),
            studio_fixture::gang(33, {2000, 100, 0}),
            studio_fixture::gang(500, {2000, 100, 0}),
            studio_fixture::gang(workers + 1, {worker_cpu, 100, 0}),
            studio_fixture::gang(workers + 1, {1000, 60000, 0}),
            studio_fixture::gang(workers + 1, {1000, 100, 5}),
            studio_fixture::gang(workers * 8 + 1, {100, 100, 1}),
            spread};
        for (const jobs::step_spec& gang : gangs)
        {
            for (const int count : {1, 3})
            {
                studio_fixture f;
                for (int i = 0; i < count; ++i)
                {
                    f.add_job("gang" + std::to_string(i), {gang});
                }
                f.run_round();
                f.advance(milliseconds(100));
                jobs::step_spec step = fleet_fixture::step(2, 2000);
                step.need = {2000, 40000, 5};
                f.add_job("later", {step}, false, {}, "check");
                step.standing = true;
                f.add_job("lasting", {step}, false, {}, "check");
                f.run_round();
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts_of("later"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts_of("lasting"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
            }
        }
    }

    // Guards against the same after a change of leaders.
    void inherited_gang_without_room_keeps_nothing_from_others()
    {
        studio_fixture f(2);
        f.add_job("gang", {studio_fixture::gang(36, {2000, 100, 0})}, true);
        f.add_job("later", {fleet_fixture::step(8, 2000)}, true, {}, "check");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, f.starts_of("later"));
    }

    // Guards against one whole worker that is kept free: tasks that fit only
    // there would wait.
    void gang_without_room_keeps_no_worker_from_others()
    {
        studio_fixture f;
        f.add_ready_worker("x", 4 * worker_cpu);
        f.add_job("gang", {studio_fixture::gang(70, {2000, 100, 0})});
        f.run_round();
        f.add_check("later", 3, worker_cpu + 1000);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts_of("later"));
    }

    // Guards against work that is stopped for nothing.
    void gang_without_room_for_all_preempts_nothing()
    {
        studio_fixture f;
        f.fill(true, milliseconds(5000));
        f.add_job("gang",
                  {studio_fixture::gang(workers + 1, {worker_cpu, 1, 0})});
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void gang_with_room_for_all_preempts_for_all()
    {
        studio_fixture f;
        f.fill(true, milliseconds(5000));
        f.add_job("gang", {studio_fixture::gang(3, {worker_cpu, 1, 0})});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, f.stops.size());
        // What is being freed is not preempted for twice.
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, f.stops.size());
    }

    // Guards against gangs that never find all their workers free at the same
    // time, because small tasks take each one as it becomes free.
    void gang_that_has_room_soon_gets_its_workers()
    {
        studio_fixture f;
        for (int i = workers; i < 8; ++i)
        {
            f.add_ready_worker(studio_fixture::name(i), worker_cpu);
        }
        f.add_check("busy", 8, worker_cpu - 1000);
        f.run_round();
        f.confirm_starts();
        f.add_job("gang", {studio_fixture::gang(2, {worker_cpu, 100, 0})});
        f.run_round();
        f.add_check("small", 8, 1000);
        f.run_round();
        // Two of eight workers are reserved.
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, f.starts_of("small"));
    }

    // Guards against a gang larger than the limit of its team, which never
    // starts.
    void gang_beyond_limit_of_team_reserves_nothing()
    {
        studio_fixture f;
        f.team_.team = base::team_id("t");
        // For five of the six tasks.
        f.team_.limit = {10000, 0, 0};
        f.apply();
        f.add_job("gang", {studio_fixture::gang(6, {2000, 100, 0})});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        // Another team, without a limit.
        f.team_.team = base::team_id("other");
        f.add_check("later", workers, worker_cpu);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(workers),
                             f.starts_of("later"));
    }

    // Guards against the limit of a team that is claimed for tasks without a
    // place: other work of the team would wait beside free workers.
    void step_without_room_for_all_claims_no_limit_for_the_rest()
    {
        studio_fixture f;
        f.fill(true, milliseconds(5000));
        queue_policy elsewhere = f.other_queues_.front();
        elsewhere.name = "elsewhere";
        elsewhere.service = base::service_id("s2");
        f.other_queues_.push_back(elsewhere);
        f.team_.team = base::team_id("t");
        f.team_.limit = {40 * worker_cpu, 0, 0};
        f.apply();
        f.queue_.service = base::service_id("s2");
        f.add_ready_worker("other", worker_cpu);
        // Four of 40 have room if they preempt.
        f.add_job("urgent", {fleet_fixture::step(40, worker_cpu)});
        f.add_job("later", {fleet_fixture::step(1, worker_cpu)}, false, {},
                  "elsewhere");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(workers) * 4,
                             f.stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts_of("later"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gang_room_test);

} // namespace coltsfootrack::fleet
