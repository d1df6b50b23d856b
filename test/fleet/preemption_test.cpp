// Tests of the room that is made for urgent work: bursts of an urgent class on
// a service, or on the limit of a team, that is full of long work.

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
        fleet_fixture::step();
        confirm_starts();
        pass(milliseconds(2000));
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
    CPPUNIT_TEST(urgent_step_stops_as_many_runs_as_it_needs);
    CPPUNIT_TEST(urgent_step_takes_the_room_and_batch_resumes);
    CPPUNIT_TEST(run_without_checkpoints_is_left_alone);
    CPPUNIT_TEST(run_of_equal_priority_is_left_alone);
    CPPUNIT_TEST(run_that_has_just_started_is_left_alone);
    CPPUNIT_TEST(late_step_stops_nothing);
    CPPUNIT_TEST(team_at_its_limit_stops_its_own_batch);
    CPPUNIT_TEST_SUITE_END();

public:
    void urgent_step_stops_as_many_runs_as_it_needs()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(2, 1000)});
        f.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
        // The room that is on its way is not asked for twice.
        f.pass(milliseconds(10));
        f.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
    }

    void urgent_step_takes_the_room_and_batch_resumes()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.step();
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
        f.pass(milliseconds(200));
        f.report("w", left, {end});
        f.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, f.starts.size());
        CPPUNIT_ASSERT(f.starts[4].task.step.job == base::job_id("u"));
        f.add_worker("v", 4000);
        f.report("v");
        f.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), f.starts[5].checkpoint);
    }

    // Guards against work that is thrown away.
    void run_without_checkpoints_is_left_alone()
    {
        full_fixture f(false);
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.step();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void run_of_equal_priority_is_left_alone()
    {
        full_fixture f(true);
        f.add_job("u", {fleet_fixture::step(1, 1000)}, false, {}, "batch");
        f.step();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against work that only stops and resumes.
    void run_that_has_just_started_is_left_alone()
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
        f.step();
        f.confirm_starts();
        f.pass(milliseconds(500));
        f.add_job("u", {fleet_fixture::step(1, 1000)});
        f.step();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void late_step_stops_nothing()
    {
        full_fixture f(true);
        // Too large for any worker until then, so it becomes late waiting.
        f.add_job("u", {fleet_fixture::step(1, 100000)});
        f.pass(milliseconds(2100));
        f.report("w", f.running);
        f.step();
        CPPUNIT_ASSERT(f.stops.empty());
    }

    // Guards against a team whose urgent jobs wait for its own batch work
    // while workers are free.
    void team_at_its_limit_stops_its_own_batch()
    {
        full_fixture f(true);
        f.team_.limit = {4500, 0, 0};
        f.apply();
        f.add_worker("v", 4000);
        f.report("v");
        f.add_job("u", {fleet_fixture::step(2, 1000)});
        f.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);

} // namespace coltsfootrack::fleet
