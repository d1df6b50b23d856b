// Tests of the metrics that distinguish a daemon short of processor time from
// workers and a store that do not answer.

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/daemon/metrics.hpp>

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <thread>

namespace coltsfootrack::daemon
{

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(delay_of_event_and_timer_are_told_apart);
    CPPUNIT_TEST(worker_call_that_never_occurred_reads_zero);
    CPPUNIT_TEST(store_time_is_in_its_bucket);
    CPPUNIT_TEST(loop_blocked_by_an_event_reports_late_event_and_timer);
    CPPUNIT_TEST_SUITE_END();

public:
    void delay_of_event_and_timer_are_told_apart()
    {
        metrics counters;
        counters.observe_delay(true, 0.3);
        counters.observe_delay(false, 0.3);
        counters.observe_delay(false, 0.3);
        const std::string text = counters.text();
        assert_has_line(
            text, "coltsfootrack_control_delay_seconds_count{of=\"timer\"} 1");
        assert_has_line(
            text, "coltsfootrack_control_delay_seconds_count{of=\"event\"} 2");
    }

    void worker_call_that_never_occurred_reads_zero()
    {
        metrics counters;
        counters.worker_calls("start", "unknown").Increment();
        counters.worker_calls("stop", "unknown");
        const std::string text = counters.text();
        assert_has_line(text, "coltsfootrack_worker_calls_total{call=\"start\","
                              "outcome=\"unknown\"} 1");
        assert_has_line(text, "coltsfootrack_worker_calls_total{call=\"stop\","
                              "outcome=\"unknown\"} 0");
    }

    void store_time_is_in_its_bucket()
    {
        metrics counters;
        counters.observe_store_time(0.3);
        const std::string text = counters.text();
        assert_has_line(text,
                        "coltsfootrack_store_seconds_bucket{le=\"0.2\"} 0");
        assert_has_line(text,
                        "coltsfootrack_store_seconds_bucket{le=\"0.5\"} 1");
    }

    // Guards against delays measured only from the start of the event, which
    // would not show the time spent in the queue.
    void loop_blocked_by_an_event_reports_late_event_and_timer()
    {
        constexpr std::chrono::milliseconds held{50};
        const base::system_clock clock;
        control_loop loop(clock, 16);
        base::duration event_delay{0};
        base::duration timer_delay{0};
        loop.observe_delays(
            [&](bool timer, base::duration delay)
            {
                base::duration& longest = timer ? timer_delay : event_delay;
                longest = std::max(longest, delay);
            });
        loop.post([&] { std::this_thread::sleep_for(held); });
        loop.post([&] { loop.after(held, [&] { loop.stop(); }); });
        loop.after(std::chrono::milliseconds(1), [] {});
        loop.run();
        CPPUNIT_ASSERT(event_delay >= held);
        CPPUNIT_ASSERT(timer_delay >= held / 2);
    }

private:
    static void assert_has_line(const std::string& text,
                                const std::string& line)
    {
        CPPUNIT_ASSERT_MESSAGE(line,
                               text.find(line + '\n') != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace coltsfootrack::daemon
