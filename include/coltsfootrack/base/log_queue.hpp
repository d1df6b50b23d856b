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
// reader of the log never blocks the threads that log.
//
//     log_queue lines(STDOUT_FILENO);
//     set_log_writer([&](log_level level, auto part, auto message)
//                    { lines.add(level, part, message); });
//
// The descriptor may be non-blocking: the thread waits while a pipe is full.
//
// Limits: at most max_bytes are queued, besides those being written. Lines
// beyond that, and lines that cannot be written, are dropped; before the next
// line that fits, a line reports their number.
//
// Thread safety: add and dropped may be called from any thread.
class log_queue
{
public:
    // Holds some seconds of log at a few hundred lines a second.
    static constexpr std::size_t max_bytes = std::size_t{256} << 10U;

    // The interval at which queued lines are written together, to save system
    // calls.
    static constexpr std::chrono::milliseconds flush_interval{100};

    explicit log_queue(int descriptor);
    log_queue(const log_queue&) = delete;
    log_queue& operator=(const log_queue&) = delete;

    // Writes the queued lines and ends the thread.
    ~log_queue();

    void add(log_level level, std::string_view part, std::string_view message);

    // The number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    void run();
    void write_lines(const std::string& text);
    bool stopping() const;

    int descriptor_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::string queued_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_drops_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace coltsfootrack::base

#endif
