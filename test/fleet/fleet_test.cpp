// Tests of scheduling decisions on jobs. They guard against exceeding a limit,
// losing work, and reporting a wrong state.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

} // namespace

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(job_runs_steps_in_order_and_is_shown_when_stored);
    CPPUNIT_TEST(end_is_acknowledged_only_when_stored);
    CPPUNIT_TEST(tasks_beyond_capacity_wait);
    CPPUNIT_TEST(team_at_its_limit_waits);
    CPPUNIT_TEST(failure_reported_out_of_order_is_counted);
    CPPUNIT_TEST(failure_reported_twice_is_counted_once);
    CPPUNIT_TEST(cancelled_job_is_stopped);
    CPPUNIT_TEST(standing_task_is_restarted_after_any_end);
    CPPUNIT_TEST(step_with_tickets_asks_and_starts_on_eligible_workers);
    CPPUNIT_TEST(tickets_belong_to_their_workers);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_runs_steps_in_order_and_is_shown_when_stored()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 10000);
        jobs::step_spec second = fleet_fixture::step(1, 1000);
        second.after = {0};
        f.add_job("a", {fleet_fixture::step(2, 1000), second});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        f.confirm_starts();
        f.report("w", {running(fleet_fixture::task("a", 1), 1)},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        f.report("w", {},
                 {end_of(2, fleet_fixture::task("a", 1), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, f.starts.size());
        f.confirm_starts();
        f.report(
            "w", {},
            {end_of(3, fleet_fixture::task("a", 0, 1), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::running);
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::completed);
    }

    // Guards against a worker that drops an end before a new leader could read
    // it.
    void end_is_acknowledged_only_when_stored()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 10000);
        f.add_job("a", {fleet_fixture::step(2, 1000)});
        f.run_round();
        f.confirm_starts();
        f.report("w", {running(fleet_fixture::task("a", 1), 1)},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             f.fleet_.acknowledged(base::worker_id("w")));
        f.save_all();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                             f.fleet_.acknowledged(base::worker_id("w")));
    }

    void tasks_beyond_capacity_wait()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 2500);
        f.add_job("a", {fleet_fixture::step(3, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    void team_at_its_limit_waits()
    {
        fleet_fixture f;
        f.team_.team = base::team_id("t");
        f.team_.limit = {2500, 0, 0};
        f.apply();
        f.add_ready_worker("w", 100000);
        f.add_job("a", {fleet_fixture::step(5, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    // Guards against one attempt too many when the worker of the first run was
    // unreachable while a later run failed elsewhere.
    void failure_reported_out_of_order_is_counted()
    {
        fleet_fixture f(2);
        f.add_worker("w", 10000);
        f.add_worker("v", 10000);
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true);
        f.report("w");
        f.report("v", {},
                 {end_of(1, fleet_fixture::task("a", 0), 2, end_kind::failed)});
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::failed)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::failed);
    }

    void failure_reported_twice_is_counted_once()
    {
        fleet_fixture f(2);
        f.add_worker("w", 10000);
        jobs::job_progress stored;
        stored.state = jobs::job_state::running;
        stored.steps[{0, 0}].done = {false};
        stored.steps[{0, 0}].failures[0] = {1};
        f.add_job("a", {fleet_fixture::step(1, 1000)}, true, stored);
        f.report("w", {},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::failed)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[0].run > 1);
    }

    void cancelled_job_is_stopped()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        f.add_job("a", {fleet_fixture::step(2, 1000)});
        f.run_round();
        f.confirm_starts();
        f.fleet_.cancel_job(base::job_id("a"), f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        f.report("w", {}, {end_of(1, f.stops[0].task, 1, end_kind::stopped)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::cancelled);
    }

    void standing_task_is_restarted_after_any_end()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        jobs::step_spec standing = fleet_fixture::step(1, 1000);
        standing.standing = true;
        f.add_job("a", {standing});
        std::uint64_t number = 0;
        for (const auto kind : {end_kind::done, end_kind::failed,
                                end_kind::failed, end_kind::lapsed})
        {
            f.run_round();
            f.confirm_starts();
            const start_order& last = f.starts.back();
            f.report("w", {}, {end_of(++number, last.task, last.run, kind)});
        }
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, f.starts.size());
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::running);
    }

    void step_with_tickets_asks_and_starts_on_eligible_workers()
    {
        fleet_fixture f;
        ticket_policy policy;
        policy.valid_for = milliseconds(1500);
        f.queue_.tickets = policy;
        f.apply();
        f.add_worker("w", 1000);
        f.add_worker("v", 1000);
        f.report("w");
        f.report("v");
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.asks.size());
        f.fleet_.on_tickets(
            f.asks[0].step, f.asks[0].workers,
            std::vector<ticket_grant>{{base::worker_id("v"), "ticket"}},
            f.now_ + policy.valid_for);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[0].worker == base::worker_id("v"));
        CPPUNIT_ASSERT_EQUAL(std::string("ticket"), f.starts[0].ticket);
    }

    // Guards against using the ticket of one worker for another, and against
    // asking again about workers that may not run a step.
    void tickets_belong_to_their_workers()
    {
        fleet_fixture f;
        ticket_policy policy;
        policy.valid_for = milliseconds(1500);
        f.queue_.tickets = policy;
        f.apply();
        for (const char* id : {"a", "b", "c", "d"})
        {
            f.add_worker(id, 1000);
            f.report(id);
        }
        f.add_job("j", {fleet_fixture::step(3, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.asks.at(0).workers.size());
        f.fleet_.on_tickets(
            f.asks[0].step, f.asks[0].workers,
            std::vector<ticket_grant>{{base::worker_id("b"), "ticket-b"},
                                      {base::worker_id("d"), "ticket-d"}},
            f.now_ + policy.valid_for);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-" + f.starts[0].worker.text()),
                             f.starts[0].ticket);
        CPPUNIT_ASSERT_EQUAL(std::string("ticket-" + f.starts[1].worker.text()),
                             f.starts[1].ticket);
        f.advance(milliseconds(2000));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.asks.size());
        CPPUNIT_ASSERT(f.asks[1].workers ==
                       (std::vector<base::worker_id>{base::worker_id("b"),
                                                     base::worker_id("d")}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace coltsfootrack::fleet
