// The log lines of a fleet: each run end must be searchable by its job, and a
// burst of ends must not produce a line each.

#include "fleet_fixture.hpp"
#include "log_capture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{

class log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(report_with_ends_is_one_line_with_each_job);
    CPPUNIT_TEST(report_that_repeats_its_ends_is_not_logged_again);
    CPPUNIT_TEST(outcome_of_each_kind_has_its_name);
    CPPUNIT_TEST(standing_task_without_run_is_logged_with_its_cause);
    CPPUNIT_TEST_SUITE_END();

public:
    void report_with_ends_is_one_line_with_each_job()
    {
        const log_capture log;
        fleet_fixture f;
        add_work(f);
        f.report("w", {}, ends());
        const std::vector<std::string> lines = log.with("Runs ended");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("Runs ended. worker=w ends=a.0.0.0:1:done:0,"
                        "b.0.0.1:1:failed:1"),
            lines[0]);
    }

    void report_that_repeats_its_ends_is_not_logged_again()
    {
        const log_capture log;
        fleet_fixture f;
        add_work(f);
        f.report("w", {}, ends());
        f.report("w", {}, ends());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.with("Runs ended").size());
    }

    // Guards against a name table that is too short or out of order.
    void outcome_of_each_kind_has_its_name()
    {
        CPPUNIT_ASSERT(name_of(order_outcome::carried_out) == "carried_out");
        CPPUNIT_ASSERT(name_of(order_outcome::late) == "late");
        CPPUNIT_ASSERT(name_of(order_outcome::other_worker) == "other_worker");
        CPPUNIT_ASSERT(name_of(order_outcome::unknown) == "unknown");
    }

    // Guards against a log that does not show why a standing task had no run.
    void standing_task_without_run_is_logged_with_its_cause()
    {
        const log_capture log;
        fleet_fixture f(2);
        jobs::step_spec standing = fleet_fixture::step(1, 1000);
        standing.standing = true;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {standing});
        f.run_round();
        f.confirm_starts();
        f.fleet_.grant_lease(base::worker_id("w"), f.now_);
        next_check(f);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             f.fleet_.standing_tasks_without_run());
        f.add_job("b", {standing});
        f.fail_renewals("w", 1);
        next_check(f);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             f.fleet_.standing_tasks_without_run());
        f.advance(std::chrono::milliseconds(4000));
        f.run_round();
        f.add_worker("silent", 1000);
        f.add_job("c", {standing}, true);
        next_check(f);
        f.advance(std::chrono::milliseconds(4000));
        f.add_ready_worker("v", 1000);
        f.run_round();
        f.confirm_starts();
        next_check(f);
        const std::vector<std::string> lines = log.with("have no run");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, lines.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("Standing tasks have no run. waiting_for=lease:1,room:1"
                        " longest_ms=4000 job=a occurrence=0 step=0 task=0"),
            lines[0]);
        CPPUNIT_ASSERT(lines[2].find("reports:1") != std::string::npos);
        const std::vector<std::string> ends = log.with("run again");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("Standing tasks run again. gaps=b.0.0.0:9000"),
            ends[0]);
    }

private:
    static void next_check(fleet_fixture& f)
    {
        f.advance(std::chrono::milliseconds(500));
        f.run_round();
    }

    static void add_work(fleet_fixture& f)
    {
        f.add_ready_worker("w", 8000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.add_job("b", {fleet_fixture::step(2, 1000)});
        f.run_round();
        f.confirm_starts();
    }

    static std::vector<run_end> ends()
    {
        return {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done),
                end_of(2, fleet_fixture::task("b", 1), 1, end_kind::failed)};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace coltsfootrack::fleet
