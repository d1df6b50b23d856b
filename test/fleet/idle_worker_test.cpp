// Workers on which nothing can be running. Guards against a task that runs
// twice because the next leader does not wait for a worker that may run it, and
// against accepted work that waits for one that cannot (review/14).

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

const base::worker_id worker("w");

// One worker, which has been ordered to start a task.
class started_fixture : public fleet_fixture
{
public:
    started_fixture()
    {
        add_ready_worker("w", 1000);
        add_job("a", {step(1, 1000)});
        run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    }

    void end_start(order_outcome outcome)
    {
        fleet_.on_start(worker, task("a", 0), starts.at(0).run, outcome, now_);
    }
};

} // namespace

class idle_worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(idle_worker_test);
    CPPUNIT_TEST(worker_without_report_is_not_idle);
    CPPUNIT_TEST(worker_with_ordered_start_is_not_idle);
    CPPUNIT_TEST(worker_with_refused_start_is_idle);
    CPPUNIT_TEST(worker_with_unanswered_start_is_not_idle_when_silent);
    CPPUNIT_TEST(worker_is_idle_once_its_ends_are_stored);
    CPPUNIT_TEST(worker_with_run_of_unknown_job_is_not_idle);
    CPPUNIT_TEST(worker_that_has_restarted_is_idle_after_its_next_report);
    CPPUNIT_TEST(worker_with_held_starts_gets_no_task);
    CPPUNIT_TEST_SUITE_END();

public:
    void worker_without_report_is_not_idle()
    {
        fleet_fixture f;
        f.add_worker("w", 1000);
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
        f.report("w");
        CPPUNIT_ASSERT(f.fleet_.is_idle(worker));
        CPPUNIT_ASSERT(!f.fleet_.is_idle(base::worker_id("other")));
    }

    void worker_with_ordered_start_is_not_idle()
    {
        started_fixture f;
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
        f.end_start(order_outcome::carried_out);
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
    }

    void worker_with_refused_start_is_idle()
    {
        started_fixture f;
        f.end_start(order_outcome::refused);
        CPPUNIT_ASSERT(f.fleet_.is_idle(worker));
    }

    void worker_with_unanswered_start_is_not_idle_when_silent()
    {
        started_fixture f;
        f.end_start(order_outcome::unknown);
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
        f.fail_renewals("w", 2);
        f.run_round();
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
    }

    // The next leader does not know of an end that is not stored.
    void worker_is_idle_once_its_ends_are_stored()
    {
        started_fixture f;
        f.end_start(order_outcome::carried_out);
        f.advance(std::chrono::milliseconds(100));
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.is_idle(worker));
    }

    void worker_with_run_of_unknown_job_is_not_idle()
    {
        fleet_fixture f;
        f.add_worker("w", 1000);
        f.report("w", {running(fleet_fixture::task("unknown", 0), 1)});
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
    }

    // Until then, an end of the new life may be unread.
    void worker_that_has_restarted_is_idle_after_its_next_report()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.advance(std::chrono::milliseconds(100));
        f.fleet_.on_clock(worker, std::chrono::milliseconds(5), f.now_, f.now_);
        CPPUNIT_ASSERT(!f.fleet_.is_idle(worker));
        f.advance(std::chrono::milliseconds(100));
        f.report("w", {}, {}, 2);
        CPPUNIT_ASSERT(f.fleet_.is_idle(worker));
    }

    void worker_with_held_starts_gets_no_task()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.fleet_.hold_starts(worker, true);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.fleet_.hold_starts(worker, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idle_worker_test);

} // namespace coltsfootrack::fleet
