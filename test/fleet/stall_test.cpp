// Tests of runs without progress: when they are stopped, and what that says of
// their worker.

#include "fleet_fixture.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <utility>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// How a task runs: its real length, the estimate of its step, and after which
// percent it stands still, if it does. `lists_percent` is false for a task that
// lists 0 until it ends.
struct behaviour
{
    milliseconds length{0};
    milliseconds estimate{0};
    std::optional<int> stands_still_at;
    bool lists_percent = true;
};

struct outcome
{
    // When the task was done, and when its first run was stopped.
    std::optional<milliseconds> done;
    std::optional<milliseconds> first_stop;
    int stops = 0;
};

// Runs one task on one of two workers until it is done, or for the limit.
outcome run_task(const behaviour& task, milliseconds limit)
{
    fleet_fixture f;
    f.add_ready_worker("w1", 1000);
    f.add_ready_worker("w2", 1000);
    jobs::step_spec step = fleet_fixture::step(1, 1000);
    step.estimate = task.estimate;
    f.add_job("job", {step});
    const base::time_point begin = f.now_;
    const milliseconds round = std::clamp<milliseconds>(
        task.length / 2000, milliseconds(50), seconds(2));
    outcome seen;
    std::map<std::string, std::uint64_t> ends;
    std::size_t known = 0;
    std::size_t stopped = 0;
    base::time_point started;
    for (; f.now_ - begin < limit; f.advance(round))
    {
        f.run_round();
        f.confirm_starts();
        const auto at =
            std::chrono::duration_cast<milliseconds>(f.now_ - begin);
        if (f.starts.size() > known)
        {
            known = f.starts.size();
            started = f.now_;
        }
        const start_order& start = f.starts.back();
        const std::string worker = start.worker.text();
        const std::string other = worker == "w1" ? "w2" : "w1";
        f.report(other);
        if (f.stops.size() > stopped)
        {
            stopped = f.stops.size();
            seen.first_stop = seen.first_stop.value_or(at);
            ++seen.stops;
            f.fleet_.on_stop(start.worker, start.task, start.run,
                             order_outcome::carried_out, f.now_);
            f.report(worker, {},
                     {end_of(++ends[worker], start.task, start.run,
                             end_kind::stopped)});
            continue;
        }
        if (!task.stands_still_at && f.now_ - started >= task.length)
        {
            f.report(worker, {},
                     {end_of(++ends[worker], start.task, start.run,
                             end_kind::done)});
            seen.done = at;
            return seen;
        }
        listed_run listed = running(start.task, start.run);
        if (task.lists_percent)
        {
            const int percent =
                static_cast<int>(100 * (f.now_ - started) / task.length);
            listed.percent =
                std::min(percent, task.stands_still_at.value_or(percent));
        }
        f.report(worker, {listed});
    }
    return seen;
}

} // namespace

class stall_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stall_test);
    CPPUNIT_TEST(long_task_is_not_stopped);
    CPPUNIT_TEST(task_much_slower_than_estimated_ends);
    CPPUNIT_TEST(task_without_percent_ends);
    CPPUNIT_TEST(stalled_run_is_stopped_in_time);
    CPPUNIT_TEST(long_task_keeps_no_worker_from_others);
    CPPUNIT_TEST(worker_where_several_jobs_stand_still_is_quarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks of minutes and hours that are stopped again and
    // again, since their whole percent does not move for seconds.
    void long_task_is_not_stopped()
    {
        for (const double slow : {1.0, 1.12, 6.5})
        {
            for (const int length : {60, 250, 600, 3600, 28800})
            {
                const milliseconds estimate = seconds(length);
                const auto real =
                    std::chrono::duration_cast<milliseconds>(estimate * slow);
                const outcome seen =
                    run_task({real, estimate, std::nullopt, true}, 2 * real);
                const std::string name =
                    std::to_string(length) + " s, " + std::to_string(slow);
                CPPUNIT_ASSERT_MESSAGE(name, seen.done.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, seen.stops);
            }
        }
    }

    void task_much_slower_than_estimated_ends()
    {
        for (const int estimate_ms : {0, 1, 700, 60000})
        {
            const outcome seen = run_task(
                {seconds(3600), milliseconds(estimate_ms), std::nullopt, true},
                seconds(4000));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(estimate_ms),
                                   seen.done.has_value());
        }
    }

    void task_without_percent_ends()
    {
        for (const int length : {10, 600})
        {
            const outcome seen = run_task(
                {seconds(length), milliseconds(700), std::nullopt, false},
                seconds(4 * length));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(length),
                                   seen.done.has_value());
        }
    }

    // Short tasks that stand still are found as soon as before; long ones after
    // eight times what a percent takes.
    void stalled_run_is_stopped_in_time()
    {
        const std::pair<int, int> wanted[] = {{700, 2600},
                                              {5000, 2600},
                                              {60000, 4900},
                                              {600000, 48500},
                                              {28800000, 2310000}};
        for (const auto& [length, limit] : wanted)
        {
            const outcome seen =
                run_task({milliseconds(length), milliseconds(length), 0, true},
                         2 * milliseconds(limit));
            const std::string name = std::to_string(length);
            CPPUNIT_ASSERT_MESSAGE(name, seen.first_stop.has_value());
            CPPUNIT_ASSERT_MESSAGE(name + ": " +
                                       std::to_string(seen.first_stop->count()),
                                   *seen.first_stop <= milliseconds(limit));
        }
    }

    // Guards against a service whose workers are all taken for faulty, each for
    // one task that stands still.
    void long_task_keeps_no_worker_from_others()
    {
        fleet_fixture f;
        f.add_ready_worker("w1", 1000);
        f.add_job("still", {fleet_fixture::step(1, 500)});
        f.run_round();
        f.confirm_starts();
        f.report("w1", {running(f.starts[0].task, 1)});
        f.advance(seconds(3));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.stops.size());
        f.add_job("other", {fleet_fixture::step(1, 500)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::string("other"),
                             f.starts.back().task.step.job.text());
    }

    void worker_where_several_jobs_stand_still_is_quarantined()
    {
        fleet_fixture f;
        f.add_ready_worker("w1", 1000);
        f.add_job("a", {fleet_fixture::step(1, 300)});
        f.add_job("b", {fleet_fixture::step(1, 300)});
        f.run_round();
        f.confirm_starts();
        f.report("w1",
                 {running(f.starts[0].task, 1), running(f.starts[1].task, 1)});
        f.add_ready_worker("w2", 1000);
        f.add_ready_worker("w3", 1000);
        f.advance(seconds(3));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.stops.size());
        f.add_job("wide", {fleet_fixture::step(8, 300)});
        f.run_round();
        for (std::size_t i = 2; i < f.starts.size(); ++i)
        {
            CPPUNIT_ASSERT(f.starts[i].worker.text() != "w1");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stall_test);

} // namespace coltsfootrack::fleet
