// Guards against callers that use up their attempts while the store is down.

#include <coltsfootrack/cell/retry_after.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr int attempts = 5;

// Whether a caller that comes at this time of an outage is served within its
// attempts, and when.
template <class Policy>
bool served(milliseconds came, milliseconds outage, Policy policy,
            milliseconds& at)
{
    at = came;
    for (int i = 0; i < attempts; ++i)
    {
        if (at >= outage)
        {
            return true;
        }
        at += policy(at);
    }
    return false;
}

} // namespace

class retry_after_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_after_test);
    CPPUNIT_TEST(retry_after_stays_within_bounds);
    CPPUNIT_TEST(retry_after_outage_of_seven_seconds_serves_every_caller);
    CPPUNIT_TEST(retry_after_short_outage_costs_little);
    CPPUNIT_TEST_SUITE_END();

public:
    void retry_after_stays_within_bounds()
    {
        using std::chrono::seconds;
        CPPUNIT_ASSERT(retry_after(milliseconds(0)) == seconds(1));
        CPPUNIT_ASSERT(retry_after(milliseconds(1000)) == seconds(1));
        CPPUNIT_ASSERT(retry_after(milliseconds(1001)) == seconds(2));
        CPPUNIT_ASSERT(retry_after(milliseconds(60000)) == seconds(4));
    }

    // A fixed second serves only those of the last four seconds.
    void retry_after_outage_of_seven_seconds_serves_every_caller()
    {
        const milliseconds outage(7000);
        int fixed = 0;
        for (milliseconds came(0); came < outage; came += milliseconds(100))
        {
            milliseconds at(0);
            CPPUNIT_ASSERT(served(
                came, outage, [](milliseconds age) { return retry_after(age); },
                at));
            // Not later than twice the outage.
            CPPUNIT_ASSERT(at <= 2 * outage);
            fixed += served(
                         came, outage,
                         [](milliseconds) { return milliseconds(1000); }, at)
                         ? 1
                         : 0;
        }
        CPPUNIT_ASSERT_EQUAL(40, fixed);
    }

    void retry_after_short_outage_costs_little()
    {
        const milliseconds outage(800);
        for (milliseconds came(0); came < outage; came += milliseconds(50))
        {
            milliseconds at(0);
            CPPUNIT_ASSERT(served(
                came, outage, [](milliseconds age) { return retry_after(age); },
                at));
            CPPUNIT_ASSERT(at <= came + milliseconds(1000));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_after_test);

} // namespace coltsfootrack::cell
