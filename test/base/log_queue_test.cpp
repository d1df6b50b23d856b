// Tests of the queue of log lines: it loses nothing while there is room, counts
// what it drops, and never blocks its callers.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_queue.hpp>

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <unistd.h>

namespace coltsfootrack::base
{

class log_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_queue_test);
    CPPUNIT_TEST(message_with_details_becomes_fields);
    CPPUNIT_TEST(message_without_details_keeps_event);
    CPPUNIT_TEST(lines_added_are_written_before_end);
    CPPUNIT_TEST(reader_that_stands_still_costs_lines_not_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void message_with_details_becomes_fields()
    {
        const std::string line =
            structured_line(log_level::info, "store", "Commit failed. a=1 b=2");
        CPPUNIT_ASSERT(line.find(" level=info part=store event=\"Commit "
                                 "failed\" a=1 b=2\n") != std::string::npos);
    }

    void message_without_details_keeps_event()
    {
        const std::string line =
            structured_line(log_level::error, "x", "Store answers.");
        CPPUNIT_ASSERT(line.find(" part=x event=\"Store answers\"\n") !=
                       std::string::npos);
    }

    void lines_added_are_written_before_end()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        {
            log_queue lines(ends[1]);
            lines.add(log_level::info, "a", "First. n=1");
            lines.add(log_level::info, "a", "Second. n=2");
        }
        std::array<char, 1024> text{};
        const ssize_t size = read(ends[0], text.data(), text.size());
        CPPUNIT_ASSERT(size > 0);
        const std::string seen(text.data(), static_cast<std::size_t>(size));
        CPPUNIT_ASSERT(seen.find("n=1\n") < seen.find("n=2\n"));
        CPPUNIT_ASSERT(seen.find("n=2\n") != std::string::npos);
        close(ends[0]);
        close(ends[1]);
    }

    // Guards against a log that holds up decisions when nobody reads it.
    void reader_that_stands_still_costs_lines_not_time()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        log_queue lines(ends[1]);
        const std::string message = "Filled. text=" + std::string(1000, 'x');
        for (int i = 0; i < 2000; ++i)
        {
            lines.add(log_level::info, "a", message);
        }
        CPPUNIT_ASSERT(lines.dropped() > 0);
        // The writer is blocked in the pipe until it is read.
        close(ends[0]);
        close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_queue_test);

} // namespace coltsfootrack::base
