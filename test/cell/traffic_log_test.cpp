// Guards against figures of traffic that name the wrong purpose or interval.

#include <coltsfootrack/cell/traffic_log.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace coltsfootrack::cell
{

class traffic_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(traffic_log_test);
    CPPUNIT_TEST(fields_largest_purpose_is_first);
    CPPUNIT_TEST(fields_count_from_last_call);
    CPPUNIT_TEST(fields_name_few_of_many_purposes);
    CPPUNIT_TEST_SUITE_END();

public:
    void fields_largest_purpose_is_first()
    {
        traffic_log log;
        CPPUNIT_ASSERT_EQUAL(
            std::string("sent=130 received=70 b=100/0 c=0/70 a=30/0"),
            log.next_fields({{"a", {30, 0}}, {"b", {100, 0}}, {"c", {0, 70}}}));
    }

    void fields_count_from_last_call()
    {
        traffic_log log;
        log.next_fields({{"a", {30, 5}}});
        CPPUNIT_ASSERT_EQUAL(std::string("sent=10 received=0 a=10/0"),
                             log.next_fields({{"a", {40, 5}}, {"b", {0, 0}}}));
        CPPUNIT_ASSERT_EQUAL(std::string(), log.next_fields({{"a", {40, 5}}}));
    }

    // The sums include the purposes that are not named.
    void fields_name_few_of_many_purposes()
    {
        traffic_log log;
        std::map<std::string, byte_counts> totals;
        for (int i = 0; i < 20; ++i)
        {
            totals["p" + std::to_string(i)] = {1, 0};
        }
        const std::string fields = log.next_fields(totals);
        CPPUNIT_ASSERT(fields.find("sent=20 ") == 0);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{10},
                             std::count(fields.begin(), fields.end(), '='));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(traffic_log_test);

} // namespace coltsfootrack::cell
