// Tests of what is kept free for steps that wait for room. Guards against
// capacity that is kept from all others for a step that cannot use it.

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t small_cpu = 16000;
constexpr std::int64_t large_cpu = 64000;

// Eight small workers and two large ones, of which the second is the larger. A
// reservation takes at most a quarter of them.
class pool_fixture : public fleet_fixture
{
public:
    static constexpr int small_workers = 8;

    explicit pool_fixture(std::uint64_t epoch = 1)
        : fleet_fixture(epoch)
    {
        queue_.stretch = 20;
        queue_policy other = queue_;
        other.name = "other";
        other.priority = 2;
        other_queues_.push_back(other);
        apply();
        for (int i = 0; i < small_workers; ++i)
        {
            add_worker(small(i), small_cpu);
        }
        add_worker("x1", large_cpu - 1000);
        add_worker("x2", large_cpu);
    }

    static std::string small(int index)
    {
        return "s" + std::to_string(index);
    }

    void report_all_idle()
    {
        for (int i = 0; i < small_workers; ++i)
        {
            report(small(i));
        }
        report("x1");
        report("x2");
    }

    void place_all()
    {
        run_round();
        confirm_starts();
        run_round();
    }

    static jobs::step_spec standing(int tasks, std::int64_t cpu,
                                    int max_per_worker = 0)
    {
        jobs::step_spec made = step(tasks, cpu);
        made.standing = true;
        made.max_per_worker = max_per_worker;
        return made;
    }

    // The workers where tasks of a job were ordered to start.
    std::vector<std::string> workers_of(const std::string& job) const
    {
        std::vector<std::string> found;
        for (const start_order& start : starts)
        {
            if (start.task.step.job == base::job_id(job))
            {
                found.push_back(start.worker.text());
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }
};

} // namespace

class reservation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reservation_test);
    CPPUNIT_TEST(step_without_room_reserves_worker_that_it_can_use);
    CPPUNIT_TEST(worker_at_limit_of_step_is_not_reserved);
    CPPUNIT_TEST(worker_at_limit_of_inherited_step_is_not_reserved);
    CPPUNIT_TEST(worker_at_limit_of_step_keeps_no_room_for_it);
    CPPUNIT_TEST(urgent_step_gets_no_more_room_on_worker_than_its_limit);
    CPPUNIT_TEST(worker_full_of_standing_tasks_is_not_reserved);
    CPPUNIT_TEST(worker_with_long_run_is_not_reserved);
    CPPUNIT_TEST(leftover_of_standing_tasks_is_not_reserved);
    CPPUNIT_TEST_SUITE_END();

public:
    // A step that waits for runs which end soon still gets its turn.
    void step_without_room_reserves_worker_that_it_can_use()
    {
        pool_fixture f;
        f.report_all_idle();
        f.add_job("busy", {fleet_fixture::step(2, 50000)}, false, {}, "other");
        f.place_all();
        f.add_job("large", {fleet_fixture::step(1, 60000)});
        f.run_round();
        f.add_job("later", {fleet_fixture::step(2, 13000)}, false, {}, "other");
        f.run_round();
        // Only one of the large workers is reserved.
        CPPUNIT_ASSERT(f.workers_of("large").empty());
        for (const std::string& worker : f.workers_of("later"))
        {
            CPPUNIT_ASSERT(worker != "x2");
        }
    }

    // Guards against a lasting task without a place that keeps the largest
    // worker from all others (review/7), whatever the limit is.
    void worker_at_limit_of_step_is_not_reserved()
    {
        for (const int limit : {1, 2, 3})
        {
            pool_fixture f;
            f.report_all_idle();
            const int places = (pool_fixture::small_workers + 2) * limit;
            f.add_job("watch",
                      {pool_fixture::standing(places + 1, 1000, limit)});
            f.place_all();
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(places),
                                 f.workers_of("watch").size());
            assert_large_workers_are_open(f, 20000);
        }
    }

    // Guards against the same after a change of leaders.
    void worker_at_limit_of_inherited_step_is_not_reserved()
    {
        pool_fixture f(2);
        const int places = pool_fixture::small_workers + 2;
        f.add_job("watch", {pool_fixture::standing(places + 1, 1000, 1)}, true);
        const auto run_of = [](int index)
        {
            return running(fleet_fixture::task("watch", index), 1);
        };
        for (int i = 0; i < pool_fixture::small_workers; ++i)
        {
            f.report(pool_fixture::small(i), {run_of(i)});
        }
        f.report("x1", {run_of(pool_fixture::small_workers)});
        f.report("x2", {run_of(pool_fixture::small_workers + 1)});
        f.run_round();
        CPPUNIT_ASSERT(f.workers_of("watch").empty());
        assert_large_workers_are_open(f, 20000);
    }

    // Guards against the same through the room that urgent steps set aside.
    void worker_at_limit_of_step_keeps_no_room_for_it()
    {
        pool_fixture f;
        f.report_all_idle();
        const int places = pool_fixture::small_workers + 2;
        // What waits would fill every worker.
        f.add_job("watch", {pool_fixture::standing(places + 40, 8000, 1)});
        f.place_all();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(places),
                             f.workers_of("watch").size());
        f.add_job("small", {fleet_fixture::step(8, 8000)}, false, {}, "other");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, f.workers_of("small").size());
    }

    // Guards against runs that are preempted for tasks which may not run there.
    void urgent_step_gets_no_more_room_on_worker_than_its_limit()
    {
        fleet_fixture f;
        queue_policy batch = f.queue_;
        batch.name = "batch";
        batch.priority = 2;
        batch.stretch = 10;
        f.other_queues_.push_back(batch);
        f.apply();
        f.add_ready_worker("w", 4000);
        jobs::step_spec step = fleet_fixture::step(4, 1000);
        step.checkpoints = true;
        step.estimate = milliseconds(5000);
        f.add_job("b", {step}, false, {}, "batch");
        f.run_round();
        f.confirm_starts();
        f.advance(milliseconds(2000));
        std::vector<listed_run> runs;
        for (int i = 0; i < 4; ++i)
        {
            runs.push_back(running(fleet_fixture::task("b", i), 1));
            runs.back().percent = 40;
        }
        f.report("w", runs);
        jobs::step_spec urgent = fleet_fixture::step(3, 1000);
        urgent.max_per_worker = 1;
        f.add_job("u", {urgent});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
    }

    // Guards against a reservation that lasts as long as the standing tasks
    // beside which the step has no room.
    void worker_full_of_standing_tasks_is_not_reserved()
    {
        pool_fixture f;
        f.report_all_idle();
        f.add_job("service", {pool_fixture::standing(2, 40000)});
        f.place_all();
        CPPUNIT_ASSERT(f.workers_of("service") ==
                       (std::vector<std::string>{"x1", "x2"}));
        f.add_job("wide", {fleet_fixture::step(1, 30000)});
        f.run_round();
        assert_large_workers_are_open(f, 17000);
    }

    // Guards against a reservation that lasts as long as a run of an hour, and
    // against none once the run is about to end.
    void worker_with_long_run_is_not_reserved()
    {
        for (const bool ends_soon : {false, true})
        {
            pool_fixture f;
            f.report_all_idle();
            jobs::step_spec hour = fleet_fixture::step(2, 40000);
            hour.estimate = std::chrono::hours(1);
            f.add_job("hour", {hour}, false, {}, "other");
            f.place_all();
            for (int i = 0; i < 2; ++i)
            {
                listed_run run = running(f.starts.at(i).task, 1);
                run.percent = ends_soon ? 100 : 50;
                f.advance(milliseconds(10));
                f.report(f.starts.at(i).worker.text(), {run});
            }
            f.add_job("wide", {fleet_fixture::step(1, 30000)});
            f.run_round();
            if (!ends_soon)
            {
                assert_large_workers_are_open(f, 17000);
                continue;
            }
            f.add_job("b", {fleet_fixture::step(2, 17000)}, false, {}, "other");
            f.run_round();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.workers_of("b").size());
        }
    }

    // Guards against the same for a step that runs on what others leave.
    void leftover_of_standing_tasks_is_not_reserved()
    {
        pool_fixture f;
        f.report_all_idle();
        f.add_job("service", {pool_fixture::standing(2, 40000)});
        f.place_all();
        jobs::step_spec filler = fleet_fixture::step(1, 60000);
        filler.uses_leftover = true;
        f.add_job("filler", {filler});
        f.run_round();
        CPPUNIT_ASSERT(f.workers_of("filler").empty());
        assert_large_workers_are_open(f, 17000);
    }

private:
    // Tasks that fit only on the large workers start on each of them.
    static void assert_large_workers_are_open(pool_fixture& f, std::int64_t cpu)
    {
        jobs::step_spec later = fleet_fixture::step(2, cpu);
        later.max_per_worker = 1;
        f.add_job("later", {later}, false, {}, "other");
        f.run_round();
        CPPUNIT_ASSERT(f.workers_of("later") ==
                       (std::vector<std::string>{"x1", "x2"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reservation_test);

} // namespace coltsfootrack::fleet
