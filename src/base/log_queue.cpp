// The queue of log lines.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/base/log_queue.hpp>

#include <cerrno>
#include <unistd.h>
#include <utility>

namespace coltsfootrack::base
{
namespace
{

// Writes a text; a descriptor that fails loses it, since there is nowhere to
// report that.
void write_all(int descriptor, const std::string& text)
{
    std::size_t written = 0;
    while (written < text.size())
    {
        const ssize_t count =
            write(descriptor, text.data() + written, text.size() - written);
        if (count < 0 && errno != EINTR)
        {
            return;
        }
        written += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
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
        write_all(descriptor_, text);
        lock.lock();
        if (last && waiting_.empty())
        {
            return;
        }
    }
}

} // namespace coltsfootrack::base
