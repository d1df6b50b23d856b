// Tests of leases that calls meant for a former life of a worker have granted.
// The worker restarts under the same id, and shortens such a lease only to the
// longest one. A task whose run may be under it must not be started again.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::worker_id w("w");

// A worker, and another one that has room for what is started again.
class two_workers : public fleet_fixture
{
public:
    using fleet_fixture::fleet_fixture;

    void start_on_first(const std::string& job)
    {
        add_job(job, {step(1, 1000)});
        run_round();
        CPPUNIT_ASSERT(starts.back().worker == w);
        CPPUNIT_ASSERT(fleet_.grant_lease(w, now_));
    }

    // The number of starts after the given time, in which the first worker
    // answers nothing.
    std::size_t starts_after(milliseconds silence)
    {
        advance(silence);
        report("other");
        fail_renewals("w", 2);
        run_round();
        return starts.size();
    }

    using fleet_fixture::step;
};

} // namespace

class former_life_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(former_life_lease_test);
    CPPUNIT_TEST(run_under_lease_of_former_life_is_not_started_again);
    CPPUNIT_TEST(unanswered_start_may_run_in_a_life_without_answer);
    CPPUNIT_TEST(start_confirmed_by_a_later_life_may_run_there);
    CPPUNIT_TEST(late_order_extends_lease_of_former_life);
    CPPUNIT_TEST(new_leader_waits_for_longest_lease_of_silent_worker);
    CPPUNIT_TEST(new_leader_waits_for_usual_lease_of_leaving_worker);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks run twice when a worker restarts and is cut off
    // soon after.
    void run_under_lease_of_former_life_is_not_started_again()
    {
        two_workers f;
        f.add_ready_worker("w", 4000);
        CPPUNIT_ASSERT(f.fleet_.grant_lease(w, f.now_));
        f.advance(milliseconds(100));
        f.report("w", {}, {}, 2);
        f.start_on_first("a");
        f.confirm_starts();
        f.advance(milliseconds(10));
        f.report("w", {running(f.starts[0].task, f.starts[0].run)}, {}, 2);
        f.add_ready_worker("other", 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.starts_after(milliseconds(6000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.starts_after(milliseconds(4000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             f.starts_after(milliseconds(2000)));
    }

    // The worker may have restarted, taken the start, and been cut off. What it
    // has confirmed before ran in the former life.
    void unanswered_start_may_run_in_a_life_without_answer()
    {
        two_workers f;
        f.add_ready_worker("w", 4000);
        // The first report may be of a life that a former leader has granted a
        // lease.
        f.advance(milliseconds(6000));
        f.report("w");
        f.start_on_first("confirmed");
        f.confirm_starts();
        f.start_on_first("unanswered");
        f.fleet_.on_start(w, f.starts[1].task, f.starts[1].run,
                          order_outcome::unknown, f.now_);
        f.add_ready_worker("other", 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             f.starts_after(milliseconds(6000)));
        CPPUNIT_ASSERT(f.starts[2].task == f.starts[0].task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             f.starts_after(milliseconds(4000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             f.starts_after(milliseconds(2000)));
        CPPUNIT_ASSERT(f.starts[3].task == f.starts[1].task);
    }

    void start_confirmed_by_a_later_life_may_run_there()
    {
        two_workers f;
        f.add_ready_worker("w", 4000);
        f.start_on_first("a");
        const base::time_point sent = f.now_;
        f.advance(milliseconds(20));
        CPPUNIT_ASSERT(f.fleet_.on_clock(w, milliseconds(700), sent, f.now_));
        f.confirm_starts();
        f.add_ready_worker("other", 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.starts_after(milliseconds(6000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             f.starts_after(milliseconds(6000)));
    }

    // The new life may hold a start for seconds, and grant its lease then.
    void late_order_extends_lease_of_former_life()
    {
        two_workers f;
        f.add_ready_worker("w", 4000);
        f.start_on_first("late");
        f.fleet_.on_start(w, f.starts[0].task, f.starts[0].run,
                          order_outcome::unknown, f.now_);
        f.advance(milliseconds(100));
        f.report("w", {}, {}, 2);
        f.start_on_first("a");
        f.confirm_starts();
        f.advance(milliseconds(10));
        f.report("w", {running(f.starts[1].task, f.starts[1].run)}, {}, 2);
        f.add_ready_worker("other", 4000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             f.starts_after(milliseconds(12000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             f.starts_after(milliseconds(11000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                             f.starts_after(milliseconds(2000)));
    }

    // Guards against tasks that wait for seconds after workers have left.
    void new_leader_waits_for_usual_lease_of_leaving_worker()
    {
        two_workers f(2);
        worker_listing leaving;
        leaving.worker = w;
        leaving.service = f.queue_.service;
        leaving.leaving = true;
        f.fleet_.expect_workers({leaving}, f.now_);
        f.add_ready_worker("other", 4000);
        f.add_job("inherited", {fleet_fixture::step(1, 1000)}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             f.starts_after(milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts_after(milliseconds(250)));
    }

    // The former leader's calls may have reached another life of it.
    void new_leader_waits_for_longest_lease_of_silent_worker()
    {
        two_workers f(2);
        f.add_worker("w", 4000);
        f.add_ready_worker("other", 4000);
        f.add_job("inherited", {fleet_fixture::step(1, 1000)}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             f.starts_after(milliseconds(6000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             f.starts_after(milliseconds(4000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             f.starts_after(milliseconds(2000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(former_life_lease_test);

} // namespace coltsfootrack::fleet
