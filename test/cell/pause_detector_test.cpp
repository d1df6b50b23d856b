#include <coltsfootrack/cell/pause_detector.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds limit{1000};
const base::time_point start(std::chrono::seconds(100));

} // namespace

class pause_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pause_detector_test);
    CPPUNIT_TEST(thread_active_within_limit_is_not_paused);
    CPPUNIT_TEST(thread_without_activity_is_paused);
    CPPUNIT_TEST(activity_after_pause_does_not_end_it);
    CPPUNIT_TEST(reset_ends_pause);
    CPPUNIT_TEST_SUITE_END();

public:
    void thread_active_within_limit_is_not_paused()
    {
        pause_detector detector(limit, start);
        base::time_point now = start;
        for (int i = 0; i < 5; ++i)
        {
            now += limit;
            CPPUNIT_ASSERT(!detector.paused(now));
            detector.note_activity(now);
        }
        CPPUNIT_ASSERT(!detector.paused(now));
    }

    void thread_without_activity_is_paused()
    {
        const pause_detector detector(limit, start);
        CPPUNIT_ASSERT(detector.paused(start + limit + milliseconds(1)));
    }

    // The first event after a pause must not hide it from the next one.
    void activity_after_pause_does_not_end_it()
    {
        pause_detector detector(limit, start);
        const base::time_point woken = start + milliseconds(3400);
        detector.note_activity(woken);
        detector.note_activity(woken + milliseconds(1));
        CPPUNIT_ASSERT(detector.paused(woken + milliseconds(2)));
    }

    void reset_ends_pause()
    {
        pause_detector detector(limit, start);
        const base::time_point woken = start + milliseconds(3400);
        detector.note_activity(woken);
        detector.reset(woken);
        CPPUNIT_ASSERT(!detector.paused(woken + limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pause_detector_test);

} // namespace coltsfootrack::cell
