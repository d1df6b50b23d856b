// Queues log lines and writes them from a thread.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_queue.hpp>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace coltsfootrack::base
{
namespace
{

// A full descriptor is tried again at least this often.
constexpr std::chrono::milliseconds retry_interval{100};

// How long the destructor waits for a reader that reads nothing.
constexpr std::chrono::milliseconds shutdown_timeout{500};

// The size of the next write: whole lines of at most PIPE_BUF bytes together,
// since larger writes to a pipe are not atomic. A longer line is written alone.
std::size_t next_write_size(const std::string& text, std::size_t from)
{
    if (text.size() - from <= PIPE_BUF)
    {
        return text.size() - from;
    }
    const std::size_t last = text.rfind('\n', from + PIPE_BUF - 1);
    const std::size_t end = last != std::string::npos && last >= from
                                ? last
                                : text.find('\n', from);
    return end == std::string::npos ? text.size() - from : end + 1 - from;
}

// Waits until a descriptor is writable or the timeout has passed.
void wait_writable(int descriptor, std::chrono::milliseconds timeout)
{
    pollfd waiting{};
    waiting.fd = descriptor;
    waiting.events = POLLOUT;
    poll(&waiting, 1, static_cast<int>(timeout.count()));
}

} // namespace

log_queue::log_queue(int descriptor)
    : descriptor_(descriptor)
    , thread_([this] { run(); })
{
}

log_queue::~log_queue()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void log_queue::add(log_level level, std::string_view part,
                    std::string_view message)
{
    std::string line = structured_line(level, part, message);
    bool first = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (queued_.size() + line.size() > max_bytes)
        {
            ++dropped_;
            ++unreported_drops_;
            return;
        }
        if (unreported_drops_ > 0)
        {
            const std::uint64_t count = std::exchange(unreported_drops_, 0);
            queued_ += structured_line(log_level::warning, "log",
                                       "Lines dropped. count=" +
                                           std::to_string(count));
        }
        first = queued_.empty();
        queued_ += line;
    }
    if (first)
    {
        wake_.notify_one();
    }
}

std::uint64_t log_queue::dropped() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
}

// Writes lines and counts those that cannot be written.
void log_queue::write_lines(const std::string& text)
{
    std::size_t written = 0;
    std::chrono::milliseconds waited{0};
    while (written < text.size())
    {
        const ssize_t count = write(descriptor_, text.data() + written,
                                    next_write_size(text, written));
        if (count >= 0)
        {
            written += static_cast<std::size_t>(count);
            waited = std::chrono::milliseconds(0);
            continue;
        }
        if (errno == EINTR)
        {
            continue;
        }
        // With a slow reader, a non-blocking pipe is full at times.
        const bool full = errno == EAGAIN || errno == EWOULDBLOCK;
        if (!full || (waited >= shutdown_timeout && stopping()))
        {
            const auto lost =
                std::count(text.begin() + static_cast<std::ptrdiff_t>(written),
                           text.end(), '\n');
            const std::lock_guard<std::mutex> lock(mutex_);
            dropped_ += static_cast<std::uint64_t>(lost);
            unreported_drops_ += static_cast<std::uint64_t>(lost);
            return;
        }
        wait_writable(descriptor_, retry_interval);
        waited += retry_interval;
    }
}

bool log_queue::stopping() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return stopping_;
}

void log_queue::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;)
    {
        wake_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
        // Collects lines until the next flush.
        wake_.wait_for(lock, flush_interval, [this] { return stopping_; });
        const std::string text = std::exchange(queued_, {});
        const bool last = stopping_;
        lock.unlock();
        write_lines(text);
        lock.lock();
        if (last && queued_.empty())
        {
            return;
        }
    }
}

} // namespace coltsfootrack::base
