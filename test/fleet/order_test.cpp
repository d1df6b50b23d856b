// The order of waiting work, by replays of load patterns.

#include "fleet_replay.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::service_id service("s");

queue_policy queue(const std::string& name, int priority, double stretch = 1.5)
{
    queue_policy made;
    made.name = name;
    made.service = service;
    made.priority = priority;
    made.max_attempts = 3;
    made.stretch = stretch;
    made.slack = milliseconds(400);
    return made;
}

jobs::step_spec step(int tasks, milliseconds estimate)
{
    jobs::step_spec made;
    made.tasks = tasks;
    made.need = {1000, 100, 0};
    made.estimate = estimate;
    return made;
}

void add_workers(fleet_replay& replay, int count)
{
    for (int i = 0; i < count; ++i)
    {
        replay.add_worker("w" + std::to_string(100 + i), service,
                          {4000, 100000, 0});
    }
}

} // namespace

class order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(order_test);
    CPPUNIT_TEST(order_overload_serves_what_fits_on_time);
    CPPUNIT_TEST(order_light_load_serves_all_on_time);
    CPPUNIT_TEST(order_rough_estimates_do_not_give_jobs_up);
    CPPUNIT_TEST(order_later_occurrence_is_not_late_before_its_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: more urgent jobs than fit, for some seconds. Guards against
    // an order by due time alone, in which every job starts just too late.
    void order_overload_serves_what_fits_on_time()
    {
        fleet_replay replay;
        replay.add_queue(queue("q", 0));
        add_workers(replay, 5);
        // 20 places of 700 ms each serve 28 jobs a second; 45 come.
        constexpr int count = 270;
        for (int i = 0; i < count; ++i)
        {
            replay.submit(milliseconds(i * 1000 / 45), std::to_string(1000 + i),
                          "q", {step(1, milliseconds(700))});
        }
        replay.run(milliseconds(16000));
        // 0.63 of the jobs fit; four fifths of these must be on time.
        CPPUNIT_ASSERT(replay.on_time("q") >= 0.5);
    }

    void order_light_load_serves_all_on_time()
    {
        fleet_replay replay;
        replay.add_queue(queue("q", 0));
        add_workers(replay, 5);
        for (int i = 0; i < 100; ++i)
        {
            replay.submit(
                milliseconds(i * 50), std::to_string(1000 + i), "q",
                {step(2, milliseconds(300)), step(1, milliseconds(300))});
        }
        replay.run(milliseconds(10000));
        CPPUNIT_ASSERT_EQUAL(1.0, replay.on_time("q"));
    }

    // A job whose estimates would make it late by a little keeps its place
    // before later ones: tasks often take less than estimated.
    void order_rough_estimates_do_not_give_jobs_up()
    {
        fleet_replay replay;
        queue_policy narrow = queue("q", 0, 1.0);
        narrow.slack = milliseconds(100);
        replay.add_queue(narrow);
        replay.add_worker("w1", service, {1000, 100000, 0});
        replay.submit(milliseconds(0), "busy", "q",
                      {step(1, milliseconds(400))});
        replay.submit(milliseconds(10), "first", "q",
                      {step(1, milliseconds(2000))});
        replay.submit(milliseconds(300), "second", "q",
                      {step(1, milliseconds(2000))});
        replay.run(milliseconds(8000));
        CPPUNIT_ASSERT(*replay.jobs().at("first").finished <
                       *replay.jobs().at("second").finished);
    }

    // Guards against occurrences that count from the time when their job was
    // handed in: all but the first would be late at once, and go last.
    void order_later_occurrence_is_not_late_before_its_time()
    {
        job_record job;
        job.submission.submitted =
            std::chrono::system_clock::time_point(std::chrono::seconds(50));
        job.submission.spec.repeats = 3;
        job.submission.spec.first_due =
            std::chrono::system_clock::time_point(std::chrono::seconds(52));
        job.submission.spec.interval = milliseconds(4000);
        job.submitted_at = base::time_point(std::chrono::seconds(7));
        CPPUNIT_ASSERT(job.counts_from(0) ==
                       base::time_point(std::chrono::seconds(9)));
        CPPUNIT_ASSERT(job.counts_from(2) ==
                       base::time_point(std::chrono::seconds(17)));
        job.submission.spec.repeats = 0;
        CPPUNIT_ASSERT(job.counts_from(0) == job.submitted_at);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_test);

} // namespace coltsfootrack::fleet
