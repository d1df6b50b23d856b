// Runs whose state is only partly known. The tests guard against starting a
// task twice and against exceeding the capacity of a worker.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// No worker takes a longer lease than the leader grants.
fleet_options short_leases(std::uint64_t epoch = 1)
{
    fleet_options made = fleet_fixture::options(epoch);
    made.longest_lease = made.lease;
    return made;
}

// Worker w runs the task of job a, and its lease has just expired; worker v is
// free.
class expired_lease_fixture : public fleet_fixture
{
public:
    expired_lease_fixture()
        : fleet_fixture(short_leases())
    {
        add_ready_worker("w", 1000);
        add_job("a", {fleet_fixture::step(1, 1000)});
        run_round();
        confirm_starts();
        fleet_.grant_lease(base::worker_id("w"), now_);
        add_ready_worker("v", 1000);
        advance(milliseconds(6000));
    }
};

} // namespace

class lost_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lost_run_test);
    CPPUNIT_TEST(orphaned_run_of_final_job_uses_room_until_its_end);
    CPPUNIT_TEST(orphaned_run_of_unknown_job_keeps_worker_full);
    CPPUNIT_TEST(start_without_answer_is_stopped_before_it_runs_elsewhere);
    CPPUNIT_TEST(stop_that_was_refused_does_not_end_an_uncertain_run);
    CPPUNIT_TEST(lost_worker_keeps_its_tasks_until_lease_expired);
    CPPUNIT_TEST(slow_leader_does_not_start_task_of_answering_worker_again);
    CPPUNIT_TEST(slow_new_leader_does_not_start_task_of_answering_worker_again);
    CPPUNIT_TEST(worker_behind_a_full_link_keeps_its_tasks_while_listed);
    CPPUNIT_TEST(worker_behind_a_full_link_keeps_its_tasks_when_unlisted);
    CPPUNIT_TEST(worker_counts_as_lost_only_after_two_confirmed_renewals);
    CPPUNIT_TEST(run_whose_end_is_not_read_yet_is_not_started_again);
    CPPUNIT_TEST(inherited_task_whose_end_is_not_read_yet_is_not_started);
    CPPUNIT_TEST(ends_of_unresponsive_worker_are_not_acknowledged);
    CPPUNIT_TEST(run_whose_end_was_cut_off_the_list_is_not_dropped);
    CPPUNIT_TEST(inherited_job_waits_for_every_worker);
    CPPUNIT_TEST(inherited_run_is_adopted);
    CPPUNIT_TEST(run_numbers_rise_over_epochs);
    CPPUNIT_TEST(leaving_worker_gets_no_task);
    CPPUNIT_TEST(restarted_worker_has_lost_its_runs);
    CPPUNIT_TEST(worker_restarted_before_its_ends_were_read_numbers_them_anew);
    CPPUNIT_TEST(start_that_reached_the_new_life_is_not_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against exceeding the capacity of a worker after a leader change:
    // an orphaned run still uses its resources.
    void orphaned_run_of_final_job_uses_room_until_its_end()
    {
        fleet_fixture f(2);
        f.add_worker("w", 1500);
        jobs::job_progress done;
        done.state = jobs::job_state::cancelled;
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true, done);
        f.report("w", {running(fleet_fixture::task("a", 0), 1)});
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.report(
            "w", {},
            {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::stopped)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    void orphaned_run_of_unknown_job_keeps_worker_full()
    {
        fleet_fixture f(2);
        f.add_worker("w", 10000);
        f.report("w", {running(fleet_fixture::task("x", 0), 1)});
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT(f.stops.empty());
        f.advance(milliseconds(6000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
    }

    // Guards against two runs of a task when the first start was executed late.
    void start_without_answer_is_stopped_before_it_runs_elsewhere()
    {
        fleet_fixture f;
        f.add_worker("w", 1000);
        f.add_worker("v", 1000);
        f.report("w");
        f.report("v");
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        const start_order first = f.starts.at(0);
        f.fleet_.on_start(first.worker, first.task, first.run,
                          order_outcome::unknown, f.now_);
        f.advance(milliseconds(100));
        f.report(first.worker.text());
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.fleet_.on_stop(first.worker, first.task, first.run,
                         order_outcome::carried_out, f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.advance(milliseconds(100));
        f.report(first.worker.text());
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].run > first.run);
    }

    // Guards against two runs of a task when the first start was executed late
    // and the stop order never reached the worker.
    void stop_that_was_refused_does_not_end_an_uncertain_run()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        const start_order first = f.starts.at(0);
        f.add_ready_worker("v", 1000);
        f.fleet_.on_start(first.worker, first.task, first.run,
                          order_outcome::unknown, f.now_);
        f.advance(milliseconds(100));
        f.report("w");
        f.run_round();
        f.fleet_.on_stop(first.worker, first.task, first.run,
                         order_outcome::unhealthy, f.now_);
        for (int i = 0; i < 3; ++i)
        {
            f.advance(milliseconds(100));
            f.report("w");
            f.run_round();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.advance(milliseconds(500));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
    }

    void lost_worker_keeps_its_tasks_until_lease_expired()
    {
        fleet_fixture f(short_leases());
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.fleet_.grant_lease(base::worker_id("w"), f.now_);
        f.add_ready_worker("v", 1000);
        f.fail_renewals("w", 2);
        CPPUNIT_ASSERT(!f.fleet_.grant_lease(base::worker_id("w"), f.now_));
        f.advance(milliseconds(5000));
        f.fail_renewals("w", 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        // 2% for a slow clock on the worker, and a margin.
        f.advance(milliseconds(250));
        f.fail_renewals("w", 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].worker == base::worker_id("v"));
    }

    // Guards against a second run of a task that has ended: the leader was too
    // slow to read the answers of a healthy worker, and its lease expired.
    void slow_leader_does_not_start_task_of_answering_worker_again()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.fleet_.grant_lease(base::worker_id("w"), f.now_);
        f.add_ready_worker("v", 1000);
        f.fail_renewals("w", 5);
        f.advance(milliseconds(6000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.fail_renewals("w", 1);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.advance(milliseconds(6000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against a second run of a task that has ended: a full link delays
    // the answers that list the end past their time-outs.
    void worker_behind_a_full_link_keeps_its_tasks_while_listed()
    {
        expired_lease_fixture f;
        f.fail_renewals("w", 2, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        // Nobody near the worker can be asked for very long.
        f.advance(milliseconds(30000));
        f.fail_renewals("w", 1, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // The reports of the worker cross the same link as its answers, so it may
    // be off the list for a while and run.
    void worker_behind_a_full_link_keeps_its_tasks_when_unlisted()
    {
        expired_lease_fixture f;
        f.fleet_.unlist_worker(base::worker_id("w"));
        f.fail_renewals("w", 2, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.advance(milliseconds(10000));
        f.fail_renewals("w", 1, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // One lost answer of the peer and of the leader each confirms nothing yet.
    void worker_counts_as_lost_only_after_two_confirmed_renewals()
    {
        expired_lease_fixture f;
        f.fail_renewals("w", 3, false);
        f.fail_renewals("w", 1, true);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.fail_renewals("w", 1, true);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // Guards against a second run of a task that has ended: its end is listed
    // behind one of a job that this leader does not know yet.
    void run_whose_end_is_not_read_yet_is_not_started_again()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        const std::vector<run_end> ends = {
            end_of(1, fleet_fixture::task("x", 0), 1, end_kind::done),
            end_of(2, fleet_fixture::task("a", 0), 1, end_kind::done)};
        for (int i = 0; i < 5; ++i)
        {
            f.advance(milliseconds(250));
            f.report("w", {}, ends);
            f.run_round();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.add_job("x", {fleet_fixture::step(1, 1000)}, true);
        f.report("w", {}, ends);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against a worker that drops an unread end: it restarted under the
    // same id, and a renewal acknowledges ends of its previous life.
    void ends_of_unresponsive_worker_are_not_acknowledged()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.report("w", {},
                 {end_of(7, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        f.save_all();
        const base::worker_id worker("w");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, f.fleet_.acknowledged(worker));
        f.fail_renewals("w", 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, f.fleet_.acknowledged(worker));
        f.report("w");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, f.fleet_.acknowledged(worker));
    }

    // Guards against a second run of a task whose end was cut off the list.
    void run_whose_end_was_cut_off_the_list_is_not_dropped()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 2000);
        f.add_job("a", {fleet_fixture::step(2, 1000)});
        f.run_round();
        f.confirm_starts();
        worker_report part;
        part.life = 1;
        part.ended = {
            end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)};
        part.all_ends = false;
        for (int i = 0; i < 5; ++i)
        {
            f.advance(milliseconds(250));
            part.clock = std::chrono::duration_cast<milliseconds>(
                f.now_ - base::time_point());
            part.sent_at = f.now_;
            f.fleet_.on_report(base::worker_id("w"), part, f.now_);
            f.run_round();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // Guards against a second run after a leader change: the end of the first
    // one is listed behind one of a job that the leader does not know yet.
    void inherited_task_whose_end_is_not_read_yet_is_not_started()
    {
        fleet_fixture f(2);
        f.add_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        const std::vector<run_end> ends = {
            end_of(1, fleet_fixture::task("x", 0), 1, end_kind::done),
            end_of(2, fleet_fixture::task("a", 0), 1, end_kind::done)};
        f.report("w", {}, ends);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(5500));
        f.report("w", {}, ends);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
    }

    // The same after a leader change: the new leader has no report of the
    // worker yet.
    void slow_new_leader_does_not_start_task_of_answering_worker_again()
    {
        fleet_fixture f(short_leases(2));
        f.add_worker("w", 1000);
        f.add_ready_worker("v", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.fail_renewals("w", 5);
        // The lease, and the time in which calls of the former leader arrive.
        f.advance(milliseconds(7000));
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.fail_renewals("w", 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against a second run of a task that a former leader started on a
    // worker that has not reported to the new one yet.
    void inherited_job_waits_for_every_worker()
    {
        fleet_fixture f(2);
        f.add_worker("w", 1000);
        f.add_worker("v", 1000);
        f.report("w");
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    void inherited_run_is_adopted()
    {
        fleet_fixture f(2);
        f.add_worker("w", 5000);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.report("w", {running(fleet_fixture::task("a", 0), 1)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT(f.stops.empty());
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::completed);
    }

    void run_numbers_rise_over_epochs()
    {
        fleet_fixture f(3);
        f.add_ready_worker("w", 5000);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2001}, f.starts.at(0).run);
    }

    void leaving_worker_gets_no_task()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        worker_listing listing =
            f.fleet_.workers().at(base::worker_id("w")).listing;
        listing.leaving = true;
        f.fleet_.list_worker(listing, f.now_);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
    }

    // Guards against two runs of a task: the worker restarts, makes a report,
    // executes the start order, and the report arrives late.
    void start_that_reached_the_new_life_is_not_dropped()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        const base::time_point asked = f.now_;
        f.advance(milliseconds(100));
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.add_ready_worker("v", 1000);
        f.advance(milliseconds(500));
        worker_report late;
        late.life = 2;
        late.sent_at = asked;
        f.fleet_.on_report(base::worker_id("w"), late, f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.advance(milliseconds(50));
        f.report("w", {running(fleet_fixture::task("a", 0), 1)}, {}, 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against an end that is mistaken for one of the previous life of a
    // worker whose ends were not all read because of an unknown job.
    void worker_restarted_before_its_ends_were_read_numbers_them_anew()
    {
        fleet_fixture f(2);
        f.add_worker("w", 1000);
        f.add_job("c", {fleet_fixture::step(1, 1000)}, true);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("c", 0), 1, end_kind::done),
                  end_of(2, fleet_fixture::task("x", 0), 1, end_kind::done)});
        f.run_round();
        f.save_all();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(1000));
        f.report("w", {}, {}, 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.confirm_starts();
        const std::vector<run_end> ends = {
            end_of(1, f.starts[0].task, f.starts[0].run, end_kind::done)};
        for (int i = 0; i < 3; ++i)
        {
            f.advance(milliseconds(100));
            f.report("w", {}, ends, 2);
            f.run_round();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    void restarted_worker_has_lost_its_runs()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        // The renewal is sent after the start was confirmed.
        f.advance(milliseconds(1));
        f.report("w", {}, {}, 2);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].run > f.starts[0].run);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_run_test);

} // namespace coltsfootrack::fleet
