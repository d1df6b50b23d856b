// Tests of log lines that end in a list: no entry is lost, however long the
// list is.

#include "log_capture.hpp"

#include <coltsfootrack/base/log_list.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::base
{

class log_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_list_test);
    CPPUNIT_TEST(list_of_entries_is_one_line);
    CPPUNIT_TEST(list_without_entries_writes_nothing);
    CPPUNIT_TEST(long_list_continues_in_lines_with_the_same_head);
    CPPUNIT_TEST_SUITE_END();

public:
    void list_of_entries_is_one_line()
    {
        const log_capture log;
        {
            log_list line(log_level::info, "a", "Seen. list=");
            line.add("{}:{}", 1, "x");
            line.add("{}:{}", 2, "y");
            CPPUNIT_ASSERT(log.with("Seen").empty());
        }
        CPPUNIT_ASSERT(std::vector<std::string>{"Seen. list=1:x,2:y"} ==
                       log.with("Seen"));
    }

    // Guards against a log line for each report without news.
    void list_without_entries_writes_nothing()
    {
        const log_capture log;
        {
            const log_list line(log_level::info, "a", "Seen. list=");
        }
        CPPUNIT_ASSERT(log.with("").empty());
    }

    // Guards against lines too long for an atomic write to a pipe, and against
    // entries that are lost where a line is split.
    void long_list_continues_in_lines_with_the_same_head()
    {
        constexpr int entries = 1000;
        const std::string head = "Seen. list=";
        const log_capture log;
        {
            log_list line(log_level::info, "a", head);
            for (int i = 0; i < entries; ++i)
            {
                line.add("{}:some-worker", i);
            }
        }
        int next = 0;
        const std::vector<std::string> lines = log.with(head);
        CPPUNIT_ASSERT(lines.size() > 1);
        for (const std::string& line : lines)
        {
            CPPUNIT_ASSERT(line.size() < 4000);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, line.find(head));
            const auto count = std::count(line.begin(), line.end(), ',') + 1;
            std::string expected = head;
            for (int i = 0; i < count; ++i)
            {
                expected += (i == 0 ? "" : ",") + std::to_string(next++) +
                            ":some-worker";
            }
            CPPUNIT_ASSERT_EQUAL(expected, line);
        }
        CPPUNIT_ASSERT_EQUAL(entries, next);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_list_test);

} // namespace coltsfootrack::base
