// Guards against callers that exhaust their attempts while the store is down.

#include <coltsfootrack/cell/retry_after.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr int attempts = 5;

// Whether a caller whose first attempt is at this time of an outage succeeds
// within its attempts, and at which time.
template <class Policy>
bool served(milliseconds first_attempt, milliseconds outage, Policy policy,
            milliseconds& last_attempt)
{
    last_attempt = first_attempt;
    for (int i = 0; i < attempts; ++i)
    {
        if (last_attempt >= outage)
        {
            return true;
        }
        last_attempt += policy(last_attempt);
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

    // With a fixed delay of 1 s, only callers of the last 4 s are served.
    void retry_after_outage_of_seven_seconds_serves_every_caller()
    {
        const milliseconds outage(7000);
        int fixed = 0;
        for (milliseconds first_attempt(0); first_attempt < outage;
             first_attempt += milliseconds(100))
        {
            milliseconds last_attempt(0);
            CPPUNIT_ASSERT(served(
                first_attempt, outage,
                [](milliseconds age) { return retry_after(age); },
                last_attempt));
            // At the latest after twice the outage.
            CPPUNIT_ASSERT(last_attempt <= 2 * outage);
            fixed += served(
                         first_attempt, outage,
                         [](milliseconds) { return milliseconds(1000); },
                         last_attempt)
                         ? 1
                         : 0;
        }
        CPPUNIT_ASSERT_EQUAL(40, fixed);
    }

    void retry_after_short_outage_costs_little()
    {
        const milliseconds outage(800);
        for (milliseconds first_attempt(0); first_attempt < outage;
             first_attempt += milliseconds(50))
        {
            milliseconds last_attempt(0);
            CPPUNIT_ASSERT(served(
                first_attempt, outage,
                [](milliseconds age) { return retry_after(age); },
                last_attempt));
            CPPUNIT_ASSERT(last_attempt <= first_attempt + milliseconds(1000));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_after_test);

} // namespace coltsfootrack::cell
