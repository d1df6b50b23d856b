// Guards against a worker that counts as gone because it is off the platform's
// list, while it is only cut off and runs on.

#include <coltsfootrack/cell/departure_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr milliseconds interval{1500};
const base::worker_id worker("w");
const base::time_point start{std::chrono::seconds(100)};

} // namespace

class departure_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(departure_detector_test);
    CPPUNIT_TEST(removal_soon_after_report_proves_departure);
    CPPUNIT_TEST(removal_after_silence_proves_nothing);
    CPPUNIT_TEST(removal_without_known_report_proves_nothing);
    CPPUNIT_TEST(removal_without_known_interval_proves_nothing);
    CPPUNIT_TEST(later_report_or_forget_ends_departure);
    CPPUNIT_TEST_SUITE_END();

public:
    void removal_soon_after_report_proves_departure()
    {
        departure_detector detector(interval);
        detector.on_report(worker, start);
        CPPUNIT_ASSERT(!detector.has_left(worker));
        detector.on_removed(worker, start + milliseconds(4000));
        CPPUNIT_ASSERT(detector.has_left(worker));
    }

    // A platform whose clock is 2% fast removes a silent worker after 4.41 s of
    // this clock.
    void removal_after_silence_proves_nothing()
    {
        for (const milliseconds silence :
             {milliseconds(4400), milliseconds(4500), milliseconds(60000)})
        {
            departure_detector detector(interval);
            detector.on_report(worker, start);
            detector.on_removed(worker, start + silence);
            CPPUNIT_ASSERT(!detector.has_left(worker));
        }
    }

    void removal_without_known_report_proves_nothing()
    {
        departure_detector detector(interval);
        detector.on_removed(worker, start);
        CPPUNIT_ASSERT(!detector.has_left(worker));
        // A removal that is read twice.
        detector.on_report(worker, start);
        detector.on_removed(worker, start + milliseconds(6000));
        detector.on_removed(worker, start + milliseconds(6000));
        CPPUNIT_ASSERT(!detector.has_left(worker));
    }

    void removal_without_known_interval_proves_nothing()
    {
        departure_detector detector(milliseconds(0));
        detector.on_report(worker, start);
        detector.on_removed(worker, start);
        CPPUNIT_ASSERT(!detector.has_left(worker));
    }

    void later_report_or_forget_ends_departure()
    {
        departure_detector detector(interval);
        detector.on_report(worker, start);
        detector.on_removed(worker, start);
        detector.on_report(worker, start + milliseconds(100));
        CPPUNIT_ASSERT(!detector.has_left(worker));
        detector.on_removed(worker, start + milliseconds(200));
        detector.forget(worker);
        CPPUNIT_ASSERT(!detector.has_left(worker));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(departure_detector_test);

} // namespace coltsfootrack::cell
