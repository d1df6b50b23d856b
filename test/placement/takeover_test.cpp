// Tests of what a new owner of the zone restores.

#include "zone_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::placement
{
namespace
{

constexpr base::resources small{1000, 1024, 0};
constexpr base::resources node{8000, 8192, 0};
constexpr base::resources plenty{1000000, 1000000, 1000};

} // namespace

class takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_test);
    CPPUNIT_TEST(restore_books_and_stops_second_copy);
    CPPUNIT_TEST(restore_before_submit_starts_only_the_rest);
    CPPUNIT_TEST(unadopted_capacity_counts_against_slices);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against used capacity that a new owner does not know of, and
    // against a task that keeps running in two places.
    void restore_books_and_stops_second_copy()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, node))
                .ok());
        restored_task running{zone_driver::task("j"),
                              base::worker_id("w1"),
                              "t1",
                              node,
                              base::team_id("a"),
                              false,
                              driver.now};
        driver.zone.restore_running(running);
        driver.zone.restore_running(running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().running_tasks);
        running.worker = base::worker_id("w2");
        running.token = "t2";
        driver.zone.restore_running(running);
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].reason == stop_reason::duplicate);
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), actions[0].token);
        CPPUNIT_ASSERT(
            driver.zone.report_stopped(running.task, "t2", driver.now));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(
            driver.zone.report_finished(running.task, "t1", driver.now));
        CPPUNIT_ASSERT(driver.step()[0].type == action_type::complete);
    }

    // Guards against a task that is started again because its worker was
    // adopted before the job was read.
    void restore_before_submit_starts_only_the_rest()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.zone.restore_running({zone_driver::task("j", 1),
                                     base::worker_id("w1"), "t1", small,
                                     base::team_id("a"), false, driver.now});
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small, 4))
                .ok());
        driver.zone.restore_finished(zone_driver::task("j", 3));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), actions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), actions[0].task.index);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), actions[1].task.index);
    }

    // Guards against starts under a limit that an unknown task may be using.
    void unadopted_capacity_counts_against_slices()
    {
        zone_driver driver;
        driver.add_team("a", node);
        driver.add_worker("w1", node);
        driver.zone.set_unadopted_capacity({7000, 1024, 0});
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small, 4))
                .ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.step().size());
        driver.zone.set_unadopted_capacity({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), driver.step().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_test);

} // namespace coltsfootrack::placement
