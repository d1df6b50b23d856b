// Tests of preemption: bursts of urgent work on a service, or on the limit of a
// team, that is full of long work.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// A fleet with a batch queue beside the urgent one, and one worker that is
// full of batch work for two seconds.
class full_fixture : public fleet_fixture
{
public:
    explicit full_fixture(bool checkpoints)
    {
        queue_policy batch = queue_;
        batch.name = "batch";
        batch.priority = 2;
        batch.stretch = 10;
        other_queues_.push_back(batch);
        team_.team = base::team_id("t");
        apply();
        add_worker("w", 4000);
        report("w");
        jobs::step_spec step = fleet_fixture::step(4, 1000);
        step.checkpoints = checkpoints;
        step.estimate = milliseconds(5000);
        add_job("b", {step}, false, {}, "batch");
        fleet_fixture::run_round();
        confirm_starts();
        advance(milliseconds(2000));
        for (int i = 0; i < 4; ++i)
        {
            listed_run run;
            run.task = task("b", i);
            run.run = 1;
            run.percent = 40;
            running.push_back(run);
        }
        report("w", running);
    }

    std::vector<listed_run> running;
};

} // namespace

class preemption_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_test);
    CPPUNIT_TEST(urgent_step_preempts_as_many_runs_as_it_needs);
    CPPUNIT_TEST(urgent_step_takes_the_room_and_batch_resumes);
    CPPUNIT_TEST(run_without_checkpoints_is_not_preempted);
    CPPUNIT_TEST(run_of_equal_priority_is_not_preempted);
    CPPUNIT_TEST(run_that_has_just_started_is_not_preempted);
    CPPUNIT_TEST(late_step_preempts_nothing);
    CPPUNIT_TEST(team_at_its_limit_preempts_its_own_batch);
    CPPUNIT_TEST_SUITE_END();

public:
    void urgent_step_preempts_as_many_runs_as_it_needs()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(2, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
        // The room that is being freed is not preempted for twice.
        f.advance(milliseconds(10));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
    }

    void urgent_step_takes_the_room_and_batch_resumes()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        run_end end;
        end.number = 1;
        end.task = f.stops[0].task;
        end.run = 1;
        end.kind = end_kind::stopped;
        end.checkpoint = "saved";
        std::vector<listed_run> left;
        for (const listed_run& run : f.running)
        {
            if (run.task != end.task)
            {
                left.push_back(run);
            }
        }
        f.advance(milliseconds(200));
        f.report("w", left, {end});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[4].task.step.job == base::job_id("u"));
        f.add_worker("v", 4000);
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), f.starts[5].checkpoint);
    }

    // Guards against losing the progress of a run.
    void run_without_checkpoints_is_not_preempted()
    {
        full_fixture f(false);
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void run_of_equal_priority_is_not_preempted()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(1, 1000)}, false, {}, "batch");
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against work that is only stopped and resumed.
    void run_that_has_just_started_is_not_preempted()
    {
        fleet_fixture f;
        queue_policy batch = f.queue_;
        batch.name = "batch";
        batch.priority = 2;
        f.other_queues_.push_back(batch);
        f.apply();
        f.add_worker("w", 1000);
        f.report("w");
        jobs::step_spec step = fleet_fixture::step(1, 1000);
        step.checkpoints = true;
        f.add_job("b", {step}, false, {}, "batch");
        f.run_round();
        f.confirm_starts();
        f.advance(milliseconds(500));
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void late_step_preempts_nothing()
    {
        full_fixture f(true);
        // Too large for any worker, so it waits until it is late.
        f.add_job("u", {fleet_fixture::step(1, 100000)});
        f.advance(milliseconds(2100));
        f.report("w", f.running);
        f.run_round();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against a team whose urgent jobs wait for its own batch work
    // while workers are free.
    void team_at_its_limit_preempts_its_own_batch()
    {
        full_fixture f(true);
        f.team_.limit = {4500, 0, 0};
        f.apply();
        f.add_worker("v", 4000);
        f.report("v");
        f.add_job("u", {fleet_fixture::step(2, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);

} // namespace coltsfootrack::fleet
