// Standing tasks of workers that leave or are lost. They run until their job is
// cancelled, so each second without a run is a second without service.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::worker_id w("w");
const base::worker_id v("v");

jobs::step_spec standing(int tasks)
{
    jobs::step_spec made = fleet_fixture::step(tasks, 1000);
    made.standing = true;
    return made;
}

void announce_departure_of(fleet_fixture& f, const base::worker_id& worker)
{
    worker_listing listing = f.fleet_.workers().at(worker).listing;
    listing.leaving = true;
    f.fleet_.list_worker(listing, f.now_);
}

// A queue of a higher priority than the first one.
void add_urgent_queue(fleet_fixture& f)
{
    queue_policy urgent = f.queue_;
    urgent.name = "urgent";
    f.queue_.priority = 5;
    f.other_queues_ = {urgent};
    f.apply();
}

// Worker w runs the standing tasks of job a.
class standing_fixture : public fleet_fixture
{
public:
    explicit standing_fixture(int tasks = 1)
    {
        add_ready_worker("w", 4000);
        // The first report may be of a life that a former leader has granted
        // the longest lease.
        advance(milliseconds(6000));
        report("w");
        add_job("a", {standing(tasks)});
        run_round();
        confirm_starts();
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(tasks), starts.size());
        fleet_.grant_lease(w, now_);
    }

    // Worker w announces its departure.
    void announce_departure()
    {
        announce_departure_of(*this, w);
    }

    // Worker w has carried out the stops ordered so far.
    void end_stopped_runs()
    {
        std::vector<run_end> ends;
        for (const stop_order& stop : stops)
        {
            fleet_.on_stop(stop.worker, stop.task, stop.run,
                           order_outcome::carried_out, now_);
            ends.push_back(end_of(ends.size() + 1, stop.task, stop.run,
                                  end_kind::stopped));
        }
        advance(milliseconds(100));
        report("w", {}, ends);
    }
};

} // namespace

class departure_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_test);
    CPPUNIT_TEST(standing_task_moves_before_its_worker_has_left);
    CPPUNIT_TEST(standing_task_stays_while_there_is_no_other_place);
    CPPUNIT_TEST(standing_task_stays_while_its_team_is_at_its_limit);
    CPPUNIT_TEST(standing_task_moves_once_there_is_a_ticket);
    CPPUNIT_TEST(place_of_moved_task_is_kept_for_it);
    CPPUNIT_TEST(place_of_moved_task_is_kept_until_stop_is_answered);
    CPPUNIT_TEST(place_of_moved_task_is_not_reserved_for_others);
    CPPUNIT_TEST(place_of_moved_task_is_kept_beside_other_stops);
    CPPUNIT_TEST(leftover_tasks_move_only_while_cpu_is_left);
    CPPUNIT_TEST(place_of_cancelled_task_is_free);
    CPPUNIT_TEST(standing_task_moves_only_with_ticket_that_outlasts_the_stop);
    CPPUNIT_TEST(limit_of_moved_task_is_kept_for_it);
    CPPUNIT_TEST(other_tasks_stay_on_leaving_worker);
    CPPUNIT_TEST(standing_task_runs_again_once_its_lease_has_expired);
    CPPUNIT_TEST(standing_task_with_unknown_start_waits_for_late_orders);
    CPPUNIT_TEST(standing_task_in_a_later_life_waits_for_its_lease);
    CPPUNIT_TEST(inherited_standing_task_waits_for_late_orders);
    CPPUNIT_TEST(inherited_standing_task_waits_briefly_for_departed_worker);
    CPPUNIT_TEST(inherited_standing_task_waits_for_leases_only);
    CPPUNIT_TEST(standing_task_stays_if_other_place_takes_no_second_one);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against standing tasks that have no run for seconds after a worker
    // has left as announced.
    void standing_task_moves_before_its_worker_has_left()
    {
        standing_fixture f(2);
        f.add_ready_worker("v", 4000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
        CPPUNIT_ASSERT(f.stops[0].worker == w);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        f.end_stopped_runs();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[2].worker == v);
        CPPUNIT_ASSERT(f.starts[2].run > f.starts[0].run);
        CPPUNIT_ASSERT(f.starts[3].worker == v);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
    }

    // A task on a leaving worker is better than none.
    void standing_task_stays_while_there_is_no_other_place()
    {
        standing_fixture f(2);
        f.add_ready_worker("v", 1500);
        f.announce_departure();
        f.run_round();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.add_ready_worker("u", 1000);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
    }

    // What it frees of the limit may go to another job of the team.
    void standing_task_stays_while_its_team_is_at_its_limit()
    {
        standing_fixture f;
        f.team_.team = base::team_id("t");
        f.team_.limit = {1500, 0, 0};
        f.apply();
        f.add_job("b", {standing(1)});
        f.run_round();
        f.confirm_starts();
        f.add_ready_worker("v", 4000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        CPPUNIT_ASSERT(f.stops[0].task == f.starts[0].task);
    }

    void standing_task_moves_once_there_is_a_ticket()
    {
        standing_fixture f;
        f.queue_.tickets = ticket_policy();
        f.queue_.tickets->valid_for = milliseconds(2000);
        f.apply();
        f.add_ready_worker("v", 4000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.asks.size());
        CPPUNIT_ASSERT(f.asks[0].workers == std::vector<base::worker_id>{v});
        f.fleet_.on_tickets(f.asks[0].step, f.asks[0].workers,
                            std::vector<ticket_grant>{{v, "ticket"}},
                            f.now_ + milliseconds(2000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.end_stopped_runs();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), f.starts[1].ticket);
    }

    // Guards against a task that was stopped for a place which others take.
    void place_of_moved_task_is_kept_for_it()
    {
        standing_fixture f;
        f.add_ready_worker("v", 1000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.add_job("other", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.end_stopped_runs();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].task == f.starts[0].task);
        CPPUNIT_ASSERT(f.starts[1].worker == v);
    }

    // A stop may take longer than the place is held after it.
    void place_of_moved_task_is_kept_until_stop_is_answered()
    {
        standing_fixture f;
        f.add_ready_worker("v", 1000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.advance(milliseconds(3000));
        f.add_job("other", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.end_stopped_runs();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].task == f.starts[0].task);
    }

    // Guards against a more urgent step that reserves the whole worker.
    void place_of_moved_task_is_not_reserved_for_others()
    {
        standing_fixture f;
        add_urgent_queue(f);
        f.add_ready_worker("v", 4000);
        for (const char* small : {"x", "y", "z"})
        {
            f.add_ready_worker(small, 500);
        }
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.add_job("other", {fleet_fixture::step(1, 4000)}, false, {}, "urgent");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.end_stopped_runs();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].task == f.starts[0].task);
    }

    // Guards against a place that counts as free because another run on the
    // same worker is being stopped.
    void place_of_moved_task_is_kept_beside_other_stops()
    {
        standing_fixture f;
        f.add_ready_worker("v", 2000);
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        CPPUNIT_ASSERT(f.starts[1].worker == v);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.fleet_.cancel_job(base::job_id("b"), f.now_);
        f.add_job("other", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // Guards against stopping more tasks on leftover CPU than may start again.
    void leftover_tasks_move_only_while_cpu_is_left()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 4000);
        jobs::step_spec spec = standing(3);
        spec.uses_leftover = true;
        f.add_job("a", {spec});
        f.run_round();
        f.confirm_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
        f.add_ready_worker("v", 1000);
        announce_departure_of(f, w);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
    }

    void place_of_cancelled_task_is_free()
    {
        standing_fixture f;
        f.add_ready_worker("v", 1000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.fleet_.cancel_job(base::job_id("a"), f.now_);
        f.end_stopped_runs();
        f.add_job("other", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // Guards against a ticket that expires while the run is being stopped.
    void standing_task_moves_only_with_ticket_that_outlasts_the_stop()
    {
        standing_fixture f;
        f.queue_.tickets = ticket_policy();
        f.queue_.tickets->valid_for = milliseconds(2000);
        f.apply();
        f.add_ready_worker("v", 4000);
        f.announce_departure();
        f.run_round();
        f.fleet_.on_tickets(f.asks[0].step, f.asks[0].workers,
                            std::vector<ticket_grant>{{v, "ticket"}},
                            f.now_ + milliseconds(200));
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against a more urgent step of the same team that takes what the
    // stop frees of the limit.
    void limit_of_moved_task_is_kept_for_it()
    {
        fleet_fixture f;
        f.team_.team = base::team_id("t");
        f.team_.limit = {2000, 0, 0};
        add_urgent_queue(f);
        f.add_ready_worker("w", 4000);
        f.add_job("a", {standing(1)});
        f.run_round();
        f.confirm_starts();
        f.add_ready_worker("v", 4000);
        announce_departure_of(f, w);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.add_job("b", {fleet_fixture::step(2, 1000)}, false, {}, "urgent");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        f.advance(milliseconds(100));
        f.report(
            "w", {},
            {end_of(1, f.stops[0].task, f.stops[0].run, end_kind::stopped)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[2].task == f.starts[0].task);
    }

    // Their work would be lost, or they end in time.
    void other_tasks_stay_on_leaving_worker()
    {
        standing_fixture f;
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.add_ready_worker("v", 4000);
        f.announce_departure();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        CPPUNIT_ASSERT(f.stops[0].task == f.starts[0].task);
    }

    // Guards against standing tasks that wait for a daemon near their worker,
    // whose link may be full, or for a list that still names the worker. Such a
    // task has no end that a second run could repeat.
    void standing_task_runs_again_once_its_lease_has_expired()
    {
        standing_fixture f;
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        f.fleet_.grant_lease(w, f.now_);
        f.add_ready_worker("v", 4000);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(5000));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        // 2% for a slow clock on the worker, and a margin.
        f.advance(milliseconds(250));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[2].task == f.starts[0].task);
        CPPUNIT_ASSERT(f.starts[2].worker == v);
    }

    // Guards against two runs of a task: the worker may have restarted, and
    // its new life carries out the start up to 12 s late, under the longest
    // lease from then on.
    void standing_task_with_unknown_start_waits_for_late_orders()
    {
        standing_fixture f;
        f.add_job("b", {standing(1)});
        f.run_round();
        f.fleet_.on_start(w, f.starts[1].task, f.starts[1].run,
                          order_outcome::unknown, f.now_);
        f.fleet_.grant_lease(w, f.now_);
        f.add_ready_worker("v", 4000);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(6000));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[2].task == f.starts[0].task);
        f.advance(milliseconds(15800));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
    }

    // The clock in an answer showed a later life, which has not reported.
    void standing_task_in_a_later_life_waits_for_its_lease()
    {
        standing_fixture f;
        f.fleet_.grant_lease(w, f.now_);
        f.advance(milliseconds(200));
        CPPUNIT_ASSERT(f.fleet_.on_clock(w, milliseconds(5), f.now_, f.now_));
        f.add_ready_worker("v", 4000);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(6000));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against standing tasks without a run after a change of leaders in
    // a release. A worker that announced its departure does not restart, so
    // that no late call can grant it a lease.
    void inherited_standing_task_waits_briefly_for_departed_worker()
    {
        fleet_fixture f(2);
        f.add_worker("w", 4000);
        announce_departure_of(f, w);
        f.add_ready_worker("v", 4000);
        f.add_job("a", {standing(1)}, true);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(6700));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(100));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against two runs of a task: a later life of the worker may carry
    // out a start of the former leader up to 12 s late.
    void inherited_standing_task_waits_for_late_orders()
    {
        fleet_fixture f(2);
        f.add_worker("w", 4000);
        f.add_ready_worker("v", 4000);
        f.add_job("a", {standing(1)}, true);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(15000));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
    }

    // Guards against a new leader that waits for confirmations beyond the
    // longest lease of any call before it starts standing tasks again.
    void inherited_standing_task_waits_for_leases_only()
    {
        fleet_fixture f(2);
        f.add_worker("w", 4000);
        f.add_ready_worker("v", 4000);
        f.add_job("a", {standing(1)}, true);
        f.add_job("b", {fleet_fixture::step(1, 1000)}, true);
        f.fail_renewals("w", 1, false);
        f.advance(milliseconds(23800));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(100));
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[0].task == fleet_fixture::task("a", 0));
    }

    // Guards against a task that is stopped for a place which another task of
    // its step has been given: there is room for both, but the step allows one
    // task on a worker, so the second one would have no run.
    void standing_task_stays_if_other_place_takes_no_second_one()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_ready_worker("u", 1000);
        jobs::step_spec spread = standing(2);
        spread.max_per_worker = 1;
        f.add_job("a", {spread});
        f.run_round();
        f.confirm_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        f.add_ready_worker("v", 4000);
        announce_departure_of(f, w);
        announce_departure_of(f, base::worker_id("u"));
        f.run_round();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_test);

} // namespace coltsfootrack::fleet
