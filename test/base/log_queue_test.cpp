// Tests of the queue of log lines: it drops nothing while there is room, counts
// the lines that it drops, and never blocks its callers.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_queue.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace coltsfootrack::base
{

class log_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_queue_test);
    CPPUNIT_TEST(message_with_details_becomes_fields);
    CPPUNIT_TEST(message_without_details_keeps_event);
    CPPUNIT_TEST(lines_added_are_written_before_end);
    CPPUNIT_TEST(full_non_blocking_pipe_loses_no_line);
    CPPUNIT_TEST(closed_pipe_counts_lost_lines);
    CPPUNIT_TEST(stalled_reader_drops_lines_without_blocking);
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

    // Guards against a writer that treats a full pipe as a failed one and drops
    // the rest of its lines.
    void full_non_blocking_pipe_loses_no_line()
    {
        constexpr int count = 1000;
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, pipe2(ends.data(), O_NONBLOCK));
        fcntl(ends[1], F_SETPIPE_SZ, 4096);
        std::string seen;
        {
            log_queue lines(ends[1]);
            for (int i = 0; i < count; ++i)
            {
                lines.add(log_level::info, "a",
                          "Filled. n=" + std::to_string(i));
            }
            seen = read_lines(ends[0], count);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lines.dropped());
        }
        for (int i = 0; i < count; ++i)
        {
            CPPUNIT_ASSERT(seen.find(" n=" + std::to_string(i) + '\n') !=
                           std::string::npos);
        }
        close(ends[0]);
        close(ends[1]);
    }

    // Guards against lines that are lost without being counted.
    void closed_pipe_counts_lost_lines()
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
        close(ends[0]);
        log_queue lines(ends[1]);
        lines.add(log_level::info, "a", "First. n=1");
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (lines.dropped() == 0 &&
               std::chrono::steady_clock::now() < deadline)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, lines.dropped());
        close(ends[1]);
    }

    // Guards against a log that blocks its callers while nothing is read.
    void stalled_reader_drops_lines_without_blocking()
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
        // The writer is blocked in write() until the read end is closed.
        close(ends[0]);
        close(ends[1]);
    }

private:
    // Reads until that many lines were received, for at most 10 s.
    static std::string read_lines(int descriptor, int count)
    {
        std::string seen;
        std::array<char, 4096> text{};
        const auto deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (std::count(seen.begin(), seen.end(), '\n') < count &&
               std::chrono::steady_clock::now() < deadline)
        {
            const ssize_t size = read(descriptor, text.data(), text.size());
            if (size > 0)
            {
                seen.append(text.data(), static_cast<std::size_t>(size));
                continue;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return seen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_queue_test);

} // namespace coltsfootrack::base
