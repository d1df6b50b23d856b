#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EVENT_SENDER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_EVENT_SENDER_HPP_INCLUDED

#include "event_loop.hpp"

#include <coltsfootrack/http/client.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace coltsfootrack::standins
{

// Sends requests on a few threads of its own and reports on the event loop's
// thread whether each was answered with 200. Lives until the program ends.
class event_sender
{
public:
    explicit event_sender(event_loop& loop)
        : loop_(loop)
        , http_(short_timeouts())
    {
        // With fewer threads one unreachable owner would hold up the events to
        // all others.
        for (int i = 0; i < 4; ++i)
        {
            std::thread([this] { run(); }).detach();
        }
    }

    event_sender(const event_sender&) = delete;
    event_sender& operator=(const event_sender&) = delete;

    void send(std::string address, http::request message,
              std::function<void(bool)> done)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        queue_.push_back(
            {std::move(address), std::move(message), std::move(done)});
        wakeup_.notify_one();
    }

private:
    struct entry
    {
        std::string address;
        http::request message;
        std::function<void(bool)> done;
    };

    static http::client_options short_timeouts()
    {
        http::client_options options;
        options.total_timeout = std::chrono::milliseconds(1000);
        return options;
    }

    void run()
    {
        for (;;)
        {
            entry next;
            {
                std::unique_lock<std::mutex> lock(mutex_);
                wakeup_.wait(lock, [this] { return !queue_.empty(); });
                next = std::move(queue_.front());
                queue_.pop_front();
            }
            const http::client_result result =
                http_.send(next.address, next.message);
            const bool accepted = result.ok() && result.answer.status == 200;
            loop_.post([done = std::move(next.done), accepted]
                       { done(accepted); });
        }
    }

    event_loop& loop_;
    http::client http_;
    std::mutex mutex_;
    std::condition_variable wakeup_;
    std::deque<entry> queue_;
};

} // namespace coltsfootrack::standins

#endif
