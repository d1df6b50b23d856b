// The queue of log lines.

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
constexpr std::chrono::milliseconds full_pause{100};

// How long the last lines wait for a reader that takes nothing.
constexpr std::chrono::milliseconds final_wait{500};

// The size of the next write: whole lines of PIPE_BUF bytes together, since a
// pipe takes no more than that in one piece. A longer line goes alone.
std::size_t piece_size(const std::string& text, std::size_t from)
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

// Waits until a non-blocking descriptor takes more, or the limit has passed.
void wait_writable(int descriptor, std::chrono::milliseconds limit)
{
    pollfd waiting{};
    waiting.fd = descriptor;
    waiting.events = POLLOUT;
    poll(&waiting, 1, static_cast<int>(limit.count()));
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
        if (waiting_.size() + line.size() > max_bytes)
        {
            ++dropped_;
            ++unreported_;
            return;
        }
        if (unreported_ > 0)
        {
            const std::uint64_t count = std::exchange(unreported_, 0);
            waiting_ += structured_line(log_level::warning, "log",
                                        "Lines dropped. count=" +
                                            std::to_string(count));
        }
        first = waiting_.empty();
        waiting_ += line;
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

// Writes lines, and counts those that the descriptor does not take.
void log_queue::write_lines(const std::string& text)
{
    std::size_t written = 0;
    std::chrono::milliseconds waited{0};
    while (written < text.size())
    {
        const ssize_t count = write(descriptor_, text.data() + written,
                                    piece_size(text, written));
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
        // A reader that is only slow leaves a non-blocking pipe full.
        const bool full = errno == EAGAIN || errno == EWOULDBLOCK;
        if (!full || (waited >= final_wait && stopping()))
        {
            const auto lost =
                std::count(text.begin() + static_cast<std::ptrdiff_t>(written),
                           text.end(), '\n');
            const std::lock_guard<std::mutex> lock(mutex_);
            dropped_ += static_cast<std::uint64_t>(lost);
            unreported_ += static_cast<std::uint64_t>(lost);
            return;
        }
        wait_writable(descriptor_, full_pause);
        waited += full_pause;
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
        wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
        // Collects the lines of a period.
        wake_.wait_for(lock, period, [this] { return stopping_; });
        const std::string text = std::exchange(waiting_, {});
        const bool last = stopping_;
        lock.unlock();
        write_lines(text);
        lock.lock();
        if (last && waiting_.empty())
        {
            return;
        }
    }
}

} // namespace coltsfootrack::base
