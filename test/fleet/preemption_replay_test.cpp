// Preemption, by replays of load patterns. Guards against preempted tasks that
// restart in a part of the room freed for an urgent step, and are preempted
// again: one gang once had 25 runs of its team stopped in 5 s and did not
// start.

#include "fleet_replay.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::service_id service("s");

queue_policy queue(const std::string& name, int priority)
{
    queue_policy made;
    made.name = name;
    made.service = service;
    made.priority = priority;
    made.max_attempts = 3;
    made.stretch = 10;
    made.slack = milliseconds(5000);
    return made;
}

jobs::step_spec step(int tasks, std::int64_t cpu, milliseconds estimate)
{
    jobs::step_spec made;
    made.tasks = tasks;
    made.need = {cpu, 100, 0};
    made.estimate = estimate;
    made.checkpoints = true;
    return made;
}

// Ten workers of eight cores with a batch queue and an urgent one.
fleet_replay two_classes()
{
    fleet_replay replay;
    replay.add_queue(queue("urgent", 0));
    replay.add_queue(queue("batch", 2));
    for (int i = 0; i < 10; ++i)
    {
        replay.add_worker("w" + std::to_string(100 + i), service,
                          {8000, 100000, 0});
    }
    return replay;
}

// A team "t" whose limit of 20 cores is used up by its own batch work.
void fill_limit_of_team(fleet_replay& replay)
{
    team_policy team;
    team.team = base::team_id("t");
    team.limit = {20000, 0, 0};
    replay.add_team(team);
    replay.submit(milliseconds(0), "batch", "batch",
                  {step(40, 1000, milliseconds(10000))}, "t");
}

} // namespace

class preemption_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_replay_test);
    CPPUNIT_TEST(urgent_gang_at_limit_of_its_team_stops_runs_once);
    CPPUNIT_TEST(urgent_gang_on_full_workers_stops_runs_once);
    CPPUNIT_TEST(urgent_gang_above_the_limit_stops_nothing);
    CPPUNIT_TEST(urgent_step_that_needs_tickets_starts_at_limit_of_its_team);
    CPPUNIT_TEST_SUITE_END();

public:
    // The limit of a team is used up by its own batch work, and a gang of its
    // urgent queue needs half of it.
    void urgent_gang_at_limit_of_its_team_stops_runs_once()
    {
        fleet_replay replay = two_classes();
        fill_limit_of_team(replay);
        jobs::step_spec gang = step(2, 5000, milliseconds(1000));
        gang.gang = true;
        replay.submit(milliseconds(3000), "gang", "urgent", {gang}, "t");
        replay.run(milliseconds(8000));
        CPPUNIT_ASSERT(replay.jobs().at("gang").finished.has_value());
        CPPUNIT_ASSERT(*replay.jobs().at("gang").finished <=
                       milliseconds(3000 + 1000 + 700));
        CPPUNIT_ASSERT_EQUAL(10, replay.stops());
    }

    // Workers full of batch work, and an urgent gang that needs whole workers.
    void urgent_gang_on_full_workers_stops_runs_once()
    {
        fleet_replay replay = two_classes();
        replay.submit(milliseconds(0), "batch", "batch",
                      {step(200, 1000, milliseconds(10000))});
        jobs::step_spec gang = step(5, 8000, milliseconds(1000));
        gang.gang = true;
        replay.submit(milliseconds(3000), "gang", "urgent", {gang});
        replay.run(milliseconds(8000));
        CPPUNIT_ASSERT(replay.jobs().at("gang").finished.has_value());
        CPPUNIT_ASSERT(*replay.jobs().at("gang").finished <=
                       milliseconds(3000 + 1000 + 700));
        CPPUNIT_ASSERT_EQUAL(40, replay.stops());
    }

    // Guards against a deadlock: a step requests no tickets because its team is
    // at its limit, and preempts nothing because it has no tickets.
    void urgent_step_that_needs_tickets_starts_at_limit_of_its_team()
    {
        fleet_replay replay = two_classes();
        queue_policy ticketed = queue("urgent", 0);
        ticketed.tickets = ticket_policy();
        ticketed.tickets->decide_time = milliseconds(100);
        ticketed.tickets->valid_for = milliseconds(2000);
        replay.add_queue(ticketed);
        fill_limit_of_team(replay);
        replay.submit(milliseconds(3000), "job", "urgent",
                      {step(2, 5000, milliseconds(1000))}, "t");
        replay.run(milliseconds(8000));
        CPPUNIT_ASSERT(replay.jobs().at("job").finished.has_value());
        CPPUNIT_ASSERT(*replay.jobs().at("job").finished <=
                       milliseconds(3000 + 1000 + 1000));
    }

    void urgent_gang_above_the_limit_stops_nothing()
    {
        fleet_replay replay = two_classes();
        fill_limit_of_team(replay);
        jobs::step_spec gang = step(5, 5000, milliseconds(1000));
        gang.gang = true;
        replay.submit(milliseconds(3000), "gang", "urgent", {gang}, "t");
        replay.run(milliseconds(6000));
        CPPUNIT_ASSERT_EQUAL(0, replay.stops());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_replay_test);

} // namespace coltsfootrack::fleet
