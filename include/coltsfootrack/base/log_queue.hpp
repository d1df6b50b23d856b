#ifndef COLTSFOOTRACK_BASE_LOG_QUEUE_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_LOG_QUEUE_HPP_INCLUDED

#include <coltsfootrack/base/log_level.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace coltsfootrack::base
{

// Writes log lines to a descriptor from a thread of its own, so that a slow
// reader of the log never holds up a decision.
//
//     log_queue lines(STDOUT_FILENO);
//     set_log_writer([&](log_level level, auto part, auto message)
//                    { lines.add(level, part, message); });
//
// The descriptor may be non-blocking: a full pipe is waited for.
//
// Limits: at most max_bytes wait, besides what is being written. Lines beyond
// that, and lines that the descriptor refuses, are dropped; the next line that
// fits says how many.
//
// Thread safety: add and dropped may be called from any thread.
class log_queue
{
public:
    // Lines of some seconds at a few hundred lines a second.
    static constexpr std::size_t max_bytes = std::size_t{256} << 10U;

    // Lines are written together this often: each write costs a system call.
    static constexpr std::chrono::milliseconds period{100};

    explicit log_queue(int descriptor);
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    // Writes what waits, and ends the thread.
    ~log_queue();

    void add(log_level level, std::string_view part, std::string_view message);

    // Lines dropped so far.
    std::uint64_t dropped() const;

private:
    void run();
    void write_lines(const std::string& text);
    bool stopping() const;

    int descriptor_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::string waiting_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace coltsfootrack::base

#endif
