// Tests that a poison job (a job that fails on every worker), a failing worker
// or a wrong estimate harms no other work, and that large gangs do not starve.

#include "zone_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::placement
{
namespace
{

constexpr base::resources small{1000, 1024, 0};
constexpr base::resources half{4000, 4096, 0};
constexpr base::resources node{8000, 8192, 0};
constexpr base::resources plenty{1000000, 1000000, 1000};

} // namespace

class fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_test);
    CPPUNIT_TEST(poison_job_fails_and_workers_stay_healthy);
    CPPUNIT_TEST(failing_worker_is_quarantined_and_jobs_continue);
    CPPUNIT_TEST(quarantine_ends_by_probation);
    CPPUNIT_TEST(quarantine_takes_only_a_part_of_the_fleet);
    CPPUNIT_TEST(job_that_fits_one_worker_fails_there);
    CPPUNIT_TEST(failures_of_a_few_tasks_do_not_fail_a_large_job);
    CPPUNIT_TEST(usage_above_size_raises_the_booking);
    CPPUNIT_TEST(usage_above_memory_of_worker_stops_and_starts_larger);
    CPPUNIT_TEST(usage_above_processors_of_worker_throttles_once);
    CPPUNIT_TEST(usage_above_every_worker_fails_job);
    CPPUNIT_TEST(usage_below_size_lowers_only_by_option);
    CPPUNIT_TEST(large_gang_starts_among_small_jobs);
    CPPUNIT_TEST(backfill_by_declared_run_time_does_not_delay_gang);
    CPPUNIT_TEST(backfill_that_overruns_is_stopped);
    CPPUNIT_TEST(gang_above_free_slice_is_not_starved_by_own_team);
    CPPUNIT_TEST_SUITE_END();

    static void add_workers(zone_driver& driver, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            driver.add_worker("w" + std::to_string(100 + i), node);
        }
    }

    static void start(zone_driver& driver, const job_spec& spec)
    {
        CPPUNIT_ASSERT(driver.submit(spec).ok());
        driver.step();
    }

    // Runs the given number of one-task jobs, which fail on the first worker
    // only. Returns the number of failures.
    static int fail_on_first_worker(zone_driver& driver, int jobs)
    {
        int failures = 0;
        for (int i = 0; i < jobs; ++i)
        {
            const std::string name = "j" + std::to_string(i);
            start(driver, zone_driver::job(name, "a", job_kind::batch, node));
            if (driver.worker_of(name) == "w100")
            {
                driver.fail(zone_driver::task(name));
                ++failures;
                driver.advance(std::chrono::seconds(2));
                driver.step();
            }
            CPPUNIT_ASSERT(driver.worker_of(name) != "w100");
        }
        return failures;
    }

public:
    // Guards against a poison job that is retried forever, and against healthy
    // workers in quarantine because of it. Fails with fail_job_after_workers =
    // 1000.
    void poison_job_fails_and_workers_stay_healthy()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 10);
        start(driver, zone_driver::job("p", "a", job_kind::batch, small));
        for (int i = 0; i < 3; ++i)
        {
            CPPUNIT_ASSERT(driver.fail(zone_driver::task("p")));
            driver.advance(std::chrono::seconds(10));
            const std::vector<action> actions = driver.step();
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(i == 2 ? 1 : 0),
                zone_driver::count(actions, action_type::fail_job));
            if (i == 2)
            {
                CPPUNIT_ASSERT(actions[0].detail.find("exit status 1") !=
                               std::string::npos);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             driver.zone.counters().workers_quarantined);
    }

    // Guards against a worker that fails all tasks and attracts more since it
    // is empty, and against healthy jobs that fail because of it. Fails with
    // quarantine_jobs = 1000.
    void failing_worker_is_quarantined_and_jobs_continue()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 16);
        CPPUNIT_ASSERT_EQUAL(3, fail_on_first_worker(driver, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().workers_quarantined);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             driver.zone.counters().jobs_failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), driver.running.size());
    }

    // Guards against workers that stay in quarantine forever, and against full
    // use of a worker that still fails.
    void quarantine_ends_by_probation()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 10);
        CPPUNIT_ASSERT_EQUAL(3, fail_on_first_worker(driver, 3));
        driver.advance(std::chrono::minutes(2));
        start(driver, zone_driver::job("p", "a", job_kind::batch, small, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().workers_on_probation);
        CPPUNIT_ASSERT_EQUAL(std::string("w100"), driver.worker_of("p", 0));
        CPPUNIT_ASSERT(driver.worker_of("p", 1) != "w100");
        // A failure on probation doubles the quarantine.
        CPPUNIT_ASSERT(driver.fail(zone_driver::task("p", 0)));
        driver.advance(std::chrono::minutes(3));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().workers_quarantined);
        driver.advance(std::chrono::minutes(2));
        for (const char* name : {"q1", "q2"})
        {
            start(driver, zone_driver::job(name, "a", job_kind::batch, small));
            CPPUNIT_ASSERT_EQUAL(std::string("w100"), driver.worker_of(name));
            CPPUNIT_ASSERT(driver.finish(zone_driver::task(name)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             driver.zone.counters().workers_on_probation);
    }

    // Guards against a fault on all workers that puts the whole fleet in
    // quarantine. Fails with max_quarantined_percent = 100.
    void quarantine_takes_only_a_part_of_the_fleet()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 20);
        for (int i = 0; i < 400; ++i)
        {
            start(driver, zone_driver::job("j" + std::to_string(i), "a",
                                           job_kind::batch, node));
            // All tasks fail wherever they run, each job a few times.
            while (!driver.running.empty())
            {
                driver.fail(driver.running.begin()->first);
            }
            CPPUNIT_ASSERT(driver.zone.counters().workers_quarantined <= 2);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             driver.zone.counters().workers_quarantined);
    }

    // Guards against a job that is retried forever on the only worker that can
    // hold it. Fails with fail_job_after_failures = 1000.
    void job_that_fits_one_worker_fails_there()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 3);
        driver.add_worker("big", {32000, 32768, 0});
        start(driver,
              zone_driver::job("p", "a", job_kind::batch, {16000, 1024, 0}));
        int failures = 0;
        while (driver.zone.explain(base::job_id("p")).state !=
                   job_state::unknown &&
               failures < 20)
        {
            CPPUNIT_ASSERT(driver.fail(zone_driver::task("p")));
            ++failures;
            driver.advance(std::chrono::seconds(61));
            driver.step();
        }
        CPPUNIT_ASSERT_EQUAL(6, failures);
    }

    // Guards against a large job or service that fails because of ordinary
    // failures of a few of its tasks.
    void failures_of_a_few_tasks_do_not_fail_a_large_job()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 10);
        start(driver, zone_driver::job("s", "a", job_kind::service, half, 18));
        for (std::uint32_t i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT(driver.fail(zone_driver::task("s", i)));
            driver.advance(std::chrono::seconds(20));
            driver.step();
        }
        driver.advance(std::chrono::seconds(40));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                             driver.zone.counters().jobs_failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), driver.running.size());
    }

    // Guards against a worker that is filled by declared sizes although its
    // memory is in use.
    void usage_above_size_raises_the_booking()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("j", "a", job_kind::batch, small));
        CPPUNIT_ASSERT(driver.use(zone_driver::task("j"), {500, 6144, 0}));
        const scheduler_counters counters = driver.zone.counters();
        CPPUNIT_ASSERT(counters.free == base::resources({7000, 2048, 0}));
        CPPUNIT_ASSERT(counters.teams[0].used ==
                       base::resources({1000, 6144, 0}));
    }

    // Guards against a VM that runs out of memory, and against a task that is
    // restarted with a size that is too small.
    void usage_above_memory_of_worker_stops_and_starts_larger()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("j", "a", job_kind::batch, half, 2));
        CPPUNIT_ASSERT(driver.use(zone_driver::task("j", 0), {4000, 6000, 0}));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].reason == stop_reason::over_size);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), actions[0].task.index);
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("j", 0)));
        CPPUNIT_ASSERT(driver.step().empty());
        driver.add_worker("w2", node);
        CPPUNIT_ASSERT(driver.step().at(0).size ==
                       base::resources({4000, 6000, 0}));
    }

    // Guards against a task that takes the processors of other tasks.
    void usage_above_processors_of_worker_throttles_once()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("j", "a", job_kind::batch, half, 2));
        CPPUNIT_ASSERT(driver.use(zone_driver::task("j", 0), {6000, 100, 0}));
        CPPUNIT_ASSERT(driver.use(zone_driver::task("j", 0), {6000, 100, 0}));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].type == action_type::throttle);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4000), actions[0].size.cpu_milli);
    }

    // Guards against a task that is stopped and started forever.
    void usage_above_every_worker_fails_job()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("j", "a", job_kind::batch, small));
        CPPUNIT_ASSERT(driver.use(zone_driver::task("j"), {500, 9000, 0}));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            zone_driver::count(driver.step(), action_type::fail_job));
    }

    // Guards against a booking that is reduced below what the team declared and
    // may use at any time.
    void usage_below_size_lowers_only_by_option()
    {
        for (const bool reclaim : {false, true})
        {
            scheduler_options options;
            options.reclaim_unused = reclaim;
            zone_driver driver(options);
            driver.add_team("a", plenty);
            driver.add_worker("w1", node);
            start(driver, zone_driver::job("j", "a", job_kind::batch, half));
            CPPUNIT_ASSERT(driver.use(zone_driver::task("j"), {400, 400, 0}));
            CPPUNIT_ASSERT(driver.zone.counters().teams[0].used ==
                           (reclaim ? base::resources({500, 500, 0}) : half));
        }
    }

    // Guards against a large gang that starves while small jobs come and go.
    // Fails with reservations = false.
    void large_gang_starts_among_small_jobs()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_team("b", plenty);
        add_workers(driver, 8);
        std::map<base::task_id, base::time_point> ends;
        int jobs = 0;
        for (int second = 0; second < 300; ++second)
        {
            while (driver.zone.counters().waiting_jobs < 10)
            {
                job_spec spec = zone_driver::job("s" + std::to_string(jobs++),
                                                 "b", job_kind::batch, half);
                spec.run_time = std::chrono::seconds(20);
                CPPUNIT_ASSERT(driver.submit(spec).ok());
                // The fleet is full of tasks that end at different times.
                if (jobs < 17)
                {
                    spec.id = base::job_id("t" + std::to_string(jobs));
                    CPPUNIT_ASSERT(driver.submit(spec).ok());
                }
            }
            if (second == 1)
            {
                CPPUNIT_ASSERT(driver
                                   .submit(zone_driver::job(
                                       "g", "a", job_kind::gang, node, 6))
                                   .ok());
            }
            for (const action& decided : driver.step())
            {
                ends[decided.task] =
                    driver.now + std::chrono::seconds(15 + ends.size() % 6);
                if (decided.task.job.text() == "g")
                {
                    CPPUNIT_ASSERT(second < 120);
                    return;
                }
            }
            driver.advance(std::chrono::seconds(1));
            for (const auto& [task, end] : ends)
            {
                if (end <= driver.now && driver.running.count(task) > 0)
                {
                    driver.finish(task);
                }
            }
        }
        CPPUNIT_FAIL("the gang did not start");
    }

    // Guards against room that is left idle for a gang although short tasks
    // fit before it, and against long tasks that delay it.
    void backfill_by_declared_run_time_does_not_delay_gang()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 2);
        job_spec first = zone_driver::job("b", "a", job_kind::batch, node);
        first.run_time = std::chrono::seconds(100);
        start(driver, first);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("g", "a", job_kind::gang, node, 2))
                .ok());
        driver.step();
        driver.advance(std::chrono::seconds(6));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().reservations);
        job_spec spec = zone_driver::job("long", "a", job_kind::batch, node);
        spec.run_time = std::chrono::seconds(200);
        start(driver, spec);
        spec = zone_driver::job("unknown", "a", job_kind::batch, node);
        start(driver, spec);
        spec = zone_driver::job("short", "a", job_kind::batch, node);
        spec.run_time = std::chrono::seconds(50);
        start(driver, spec);
        CPPUNIT_ASSERT_EQUAL(std::string(), driver.worker_of("long"));
        CPPUNIT_ASSERT_EQUAL(std::string(), driver.worker_of("unknown"));
        CPPUNIT_ASSERT(!driver.worker_of("short").empty());
    }

    // Guards against a gang that is delayed indefinitely by a task whose
    // declared run time was too short.
    void backfill_that_overruns_is_stopped()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        add_workers(driver, 2);
        job_spec spec = zone_driver::job("b", "a", job_kind::batch, node);
        spec.run_time = std::chrono::seconds(30);
        start(driver, spec);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("g", "a", job_kind::gang, node, 2))
                .ok());
        driver.advance(std::chrono::seconds(6));
        driver.step();
        spec.id = base::job_id("overrun");
        spec.run_time = std::chrono::seconds(10);
        start(driver, spec);
        CPPUNIT_ASSERT(!driver.worker_of("overrun").empty());
        driver.advance(std::chrono::seconds(20));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].reason == stop_reason::overran);
        CPPUNIT_ASSERT_EQUAL(std::string("overrun"),
                             actions[0].task.job.text());
    }

    // Guards against a gang that never gets its team's slice because smaller
    // jobs of the team take every part that becomes free. Fails with
    // reservations = false.
    void gang_above_free_slice_is_not_starved_by_own_team()
    {
        zone_driver driver;
        driver.add_team("a", {16000, 16384, 0});
        add_workers(driver, 4);
        job_spec spec = zone_driver::job("b", "a", job_kind::batch, half, 4);
        spec.run_time = std::chrono::seconds(60);
        start(driver, spec);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("g", "a", job_kind::gang, node, 2))
                .ok());
        spec = zone_driver::job("c", "a", job_kind::batch, half, 20);
        spec.run_time = std::chrono::seconds(600);
        CPPUNIT_ASSERT(driver.submit(spec).ok());
        driver.advance(std::chrono::seconds(10));
        driver.step();
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT(driver.finish(zone_driver::task("b", i)));
            driver.advance(std::chrono::seconds(5));
            driver.step();
        }
        CPPUNIT_ASSERT(!driver.worker_of("g", 1).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_test);

} // namespace coltsfootrack::placement
