#ifndef COLTSFOOTRACK_TEST_LOG_CAPTURE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_LOG_CAPTURE_HPP_INCLUDED

#include <coltsfootrack/base/log.hpp>

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack
{

// Records the messages logged during its lifetime. It must be created before
// the threads that log start, and destroyed after they end.
class log_capture
{
public:
    log_capture()
    {
        base::set_log_writer(
            [this](base::log_level /*level*/, std::string_view /*part*/,
                   std::string_view message)
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                messages_.emplace_back(message);
            });
    }

    ~log_capture()
    {
        base::set_log_writer({});
    }

    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    // The messages that contain the text, in the order in which they were
    // logged.
    std::vector<std::string> with(std::string_view text) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<std::string> found;
        for (const std::string& message : messages_)
        {
            if (message.find(text) != std::string::npos)
            {
                found.push_back(message);
            }
        }
        return found;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::string> messages_;
};

} // namespace coltsfootrack

#endif
