// Replays of load patterns. They guard against an order of waiting steps in
// which jobs miss objectives that they could meet.

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

class queue_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(queue_order_test);
    CPPUNIT_TEST(order_overload_serves_what_fits_on_time);
    CPPUNIT_TEST(order_light_load_serves_all_on_time);
    CPPUNIT_TEST(order_rough_estimates_do_not_demote_jobs);
    CPPUNIT_TEST(order_later_occurrence_is_not_late_before_its_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // When more urgent jobs arrive for some seconds than the workers can
    // serve. Guards against ordering by due time alone, where every job starts
    // just too late.
    void order_overload_serves_what_fits_on_time()
    {
        fleet_replay replay;
        replay.add_queue(queue("q", 0));
        add_workers(replay, 5);
        // 20 slots of 700 ms each serve 28 jobs a second; 45 arrive.
        constexpr int count = 270;
        for (int i = 0; i < count; ++i)
        {
            replay.submit(milliseconds(i * 1000 / 45), std::to_string(1000 + i),
                          "q", {step(1, milliseconds(700))});
        }
        replay.run(milliseconds(16000));
        // Capacity for 0.63 of the jobs; four fifths of these must be on time.
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

    // A job that its estimates make slightly late stays ahead of later ones,
    // since tasks often take less time than estimated.
    void order_rough_estimates_do_not_demote_jobs()
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

    // Guards against due times that count from the submission of the job: all
    // occurrences but the first would be late at once, and be served last.
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
        CPPUNIT_ASSERT(job.release_time(0) ==
                       base::time_point(std::chrono::seconds(9)));
        CPPUNIT_ASSERT(job.release_time(2) ==
                       base::time_point(std::chrono::seconds(17)));
        job.submission.spec.repeats = 0;
        CPPUNIT_ASSERT(job.release_time(0) == job.submitted_at);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_order_test);

} // namespace coltsfootrack::fleet
