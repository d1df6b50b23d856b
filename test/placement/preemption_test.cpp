// Tests of preemption, and of keeping accelerator VMs for accelerator work.

#include "zone_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::placement
{
namespace
{

constexpr base::resources node{8000, 8192, 0};
constexpr base::resources half{4000, 4096, 0};
constexpr base::resources accelerator_node{8000, 8192, 8};
constexpr base::resources plenty{1000000, 1000000, 1000};

} // namespace

class preemption_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_test);
    CPPUNIT_TEST(urgent_on_full_fleet_starts_within_bound);
    CPPUNIT_TEST(urgent_stops_ordinary_batch_before_exclusive);
    CPPUNIT_TEST(urgent_stops_exclusive_if_nothing_else_helps);
    CPPUNIT_TEST(urgent_does_not_stop_services_or_urgent_batch);
    CPPUNIT_TEST(urgent_above_slice_stops_work_of_its_own_team);
    CPPUNIT_TEST(urgent_gang_frees_room_for_all_tasks);
    CPPUNIT_TEST(freed_room_is_not_taken_by_other_work);
    CPPUNIT_TEST(unconfirmed_stop_is_replaced_by_another);
    CPPUNIT_TEST(cancellation_wave_does_not_delay_urgent_work);
    CPPUNIT_TEST(plain_work_avoids_accelerator_vms);
    CPPUNIT_TEST(accelerator_work_preempts_plain_work_on_its_vm);
    CPPUNIT_TEST(services_leave_room_for_idle_accelerators);
    CPPUNIT_TEST_SUITE_END();

    static job_spec urgent(const std::string& name, const std::string& team,
                           const base::resources& size,
                           job_kind kind = job_kind::batch,
                           std::uint32_t tasks = 1)
    {
        job_spec spec = zone_driver::job(name, team, kind, size, tasks);
        spec.urgent = true;
        return spec;
    }

    static void start(zone_driver& driver, const job_spec& spec)
    {
        CPPUNIT_ASSERT(driver.submit(spec).ok());
        driver.step();
    }

    static std::string stopped_job(const std::vector<action>& actions)
    {
        std::string jobs;
        for (const action& decided : actions)
        {
            if (decided.type == action_type::stop)
            {
                CPPUNIT_ASSERT(decided.reason == stop_reason::preempted);
                jobs += decided.task.job.text();
            }
        }
        return jobs;
    }

public:
    // Guards against urgent work that waits for batch work to end. Fails with
    // preemption = false.
    void urgent_on_full_fleet_starts_within_bound()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_team("b", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        start(driver, zone_driver::job("b", "b", job_kind::batch, half, 10));
        const base::time_point submitted = driver.now;
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", {5000, 1024, 0})).ok());
        // Workers confirm a stop at the end of its grace period, and messages
        // take 0.3 s each way.
        std::map<base::task_id, base::time_point> stops;
        while (driver.worker_of("u").empty())
        {
            for (const action& decided : driver.step())
            {
                if (decided.type == action_type::stop)
                {
                    stops[decided.task] = driver.now + decided.grace +
                                          std::chrono::milliseconds(600);
                }
            }
            driver.advance(std::chrono::milliseconds(100));
            for (const auto& [task, end] : stops)
            {
                if (end <= driver.now && driver.running.count(task) > 0)
                {
                    driver.stop(task);
                }
            }
            CPPUNIT_ASSERT(driver.now - submitted <
                           std::chrono::milliseconds(3600));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stops.size());
    }

    // Guards against preempting exclusive work while ordinary batch work
    // suffices.
    void urgent_stops_ordinary_batch_before_exclusive()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        job_spec exclusive = zone_driver::job("x", "a", job_kind::batch, node);
        exclusive.exclusive = true;
        start(driver, exclusive);
        driver.advance(std::chrono::seconds(1));
        start(driver, zone_driver::job("b", "a", job_kind::batch, half, 2));
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", node)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("bb"), stopped_job(driver.step()));
    }

    // Guards against urgent work that waits forever behind exclusive work.
    void urgent_stops_exclusive_if_nothing_else_helps()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        job_spec exclusive = zone_driver::job("x", "a", job_kind::batch, node);
        exclusive.exclusive = true;
        start(driver, exclusive);
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", half)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("x"), stopped_job(driver.step()));
    }

    // Guards against preempting services, which interrupts customers, and
    // against urgent jobs that preempt each other in turn.
    void urgent_does_not_stop_services_or_urgent_batch()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("s", "a", job_kind::service, half));
        start(driver, urgent("v", "a", half));
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", half)).ok());
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(
            driver.submit(urgent("t", "a", half, job_kind::service)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("v"), stopped_job(driver.step()));
    }

    // Guards against a team that exceeds its slice with urgent work.
    void urgent_above_slice_stops_work_of_its_own_team()
    {
        zone_driver driver;
        driver.add_team("a", half);
        driver.add_team("b", plenty);
        driver.add_worker("w1", {16000, 16384, 0});
        start(driver, zone_driver::job("b", "b", job_kind::batch, half));
        start(driver, zone_driver::job("a", "a", job_kind::batch, half));
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", half)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), stopped_job(driver.step()));
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("a")));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), driver.worker_of("u"));
    }

    // Guards against an urgent gang of which only a part gets room.
    void urgent_gang_frees_room_for_all_tasks()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        start(driver, zone_driver::job("b", "a", job_kind::batch, node, 2));
        CPPUNIT_ASSERT(
            driver.submit(urgent("u", "a", half, job_kind::gang, 4)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("bb"), stopped_job(driver.step()));
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("b", 0)));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("b", 1)));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(4),
            zone_driver::count(driver.step(), action_type::start));
    }

    // Guards against batch work that takes the room which was freed for urgent
    // work.
    void freed_room_is_not_taken_by_other_work()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("b", "a", job_kind::batch, half, 8));
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", node)).ok());
        CPPUNIT_ASSERT_EQUAL(std::string("bb"), stopped_job(driver.step()));
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("b", 0)));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("b", 1)));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("u"), actions[0].task.job.text());
    }

    // Guards against urgent work that depends on a worker which hangs.
    void unconfirmed_stop_is_replaced_by_another()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        start(driver, zone_driver::job("b", "a", job_kind::batch, node, 2));
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", half)).ok());
        std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        const base::worker_id hung = actions[0].worker;
        driver.advance(std::chrono::milliseconds(2700));
        actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].worker != hung);
    }

    // Guards against urgent starts that wait behind the stops of a mass
    // cancellation, and against a step whose work grows with it. Fails if the
    // stops come first in the step.
    void cancellation_wave_does_not_delay_urgent_work()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_team("q", plenty);
        driver.zone.set_quota(base::team_id("q"), {});
        for (int i = 0; i < 50; ++i)
        {
            driver.add_worker("w" + std::to_string(100 + i), node);
        }
        start(driver, zone_driver::job("b", "a", job_kind::batch,
                                       {2000, 1024, 0}, 196));
        for (int i = 0; i < 1000; ++i)
        {
            CPPUNIT_ASSERT(
                driver
                    .submit(zone_driver::job("q" + std::to_string(i), "q",
                                             job_kind::batch, {7000, 8192, 0}))
                    .ok());
        }
        driver.step();
        CPPUNIT_ASSERT(driver.zone.cancel(base::job_id("b")).ok());
        for (int i = 0; i < 1000; ++i)
        {
            CPPUNIT_ASSERT(
                driver.zone.cancel(base::job_id("q" + std::to_string(i))).ok());
        }
        CPPUNIT_ASSERT(driver.submit(urgent("u", "a", {1000, 1024, 0})).ok());
        const std::vector<action> first = driver.zone.step(driver.now, 20);
        CPPUNIT_ASSERT_EQUAL(std::string("u"), first.at(0).task.job.text());
        CPPUNIT_ASSERT(first.size() <= 20);
        const std::vector<action> second = driver.zone.step(driver.now, 1000);
        CPPUNIT_ASSERT(second.size() <=
                       2 * scheduler_options().max_cancel_stops_per_step);
        CPPUNIT_ASSERT(driver.zone.has_more());
        std::size_t stops =
            zone_driver::count(first, action_type::stop) +
            zone_driver::count(second, action_type::stop) +
            zone_driver::count(driver.step(), action_type::stop);
        CPPUNIT_ASSERT_EQUAL(std::size_t(196), stops);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             driver.zone.counters().waiting_jobs);
    }

    // Guards against accelerators that idle because plain work fills their VM.
    // Fails with keep_accelerators = false, except for the first placement.
    void plain_work_avoids_accelerator_vms()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("g1", accelerator_node);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("b1", "a", job_kind::batch, half));
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), driver.worker_of("b1"));
        start(driver, zone_driver::job("b2", "a", job_kind::batch, half, 2));
        // No job needs accelerators, so their VM may be used.
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), driver.worker_of("b2", 0));
        CPPUNIT_ASSERT_EQUAL(std::string("g1"), driver.worker_of("b2", 1));
        // While accelerator work waits, no further plain work goes there.
        start(driver,
              zone_driver::job("g", "a", job_kind::batch, {100, 100, 5}, 2));
        CPPUNIT_ASSERT_EQUAL(std::string("g1"), driver.worker_of("g"));
        start(driver,
              zone_driver::job("b3", "a", job_kind::batch, {1000, 1024, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string(), driver.worker_of("b3"));
    }

    // Guards against accelerator work that waits for plain batch work. Fails
    // with keep_accelerators = false.
    void accelerator_work_preempts_plain_work_on_its_vm()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("g1", accelerator_node);
        start(driver, zone_driver::job("b", "a", job_kind::batch, half, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             driver.zone.counters().running_tasks);
        CPPUNIT_ASSERT(driver
                           .submit(zone_driver::job("g", "a", job_kind::batch,
                                                    {4000, 4096, 4}))
                           .ok());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), stopped_job(driver.step()));
        const base::task_id victim = zone_driver::task("b", 1);
        CPPUNIT_ASSERT(driver.stop(victim));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("g"), actions[0].task.job.text());
    }

    // Guards against services, which are not preempted for it, on room that
    // accelerator work needs. Fails with keep_accelerators = false.
    void services_leave_room_for_idle_accelerators()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("g1", accelerator_node);
        driver.add_worker("w1", node);
        start(driver, zone_driver::job("f", "a", job_kind::service, node));
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), driver.worker_of("f"));
        start(driver,
              zone_driver::job("s", "a", job_kind::service, {1000, 1024, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string(), driver.worker_of("s"));
        start(driver,
              zone_driver::job("g", "a", job_kind::batch, {100, 100, 4}));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::string("g1"), driver.worker_of("s"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);

} // namespace coltsfootrack::placement
