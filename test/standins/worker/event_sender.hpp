#ifndef COLTSFOOTRACK_TEST_STANDINS_WORKER_EVENT_SENDER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_WORKER_EVENT_SENDER_HPP_INCLUDED

#include "standins/support/event_loop.hpp"

#include <coltsfootrack/http/client.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::standins
{

// Sends the events of all workers of a process from a few threads of its own.
class event_sender
{
public:
    using callback = std::function<void(bool accepted)>;

    explicit event_sender(event_loop& loop)
        : loop_(loop)
        , client_({})
    {
        for (int i = 0; i < 4; ++i)
        {
            threads_.emplace_back([this] { run(); });
        }
    }

    // Posts the body to the owner; the callback runs on the loop.
    void send(std::string address, std::string body, callback done)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            queue_.push_back(
                {std::move(address), std::move(body), std::move(done)});
        }
        wake_.notify_one();
    }

private:
    struct item
    {
        std::string address;
        std::string body;
        callback done;
    };

    [[noreturn]] void run()
    {
        for (;;)
        {
            item next;
            {
                std::unique_lock<std::mutex> lock(mutex_);
                wake_.wait(lock, [this] { return !queue_.empty(); });
                next = std::move(queue_.front());
                queue_.pop_front();
            }
            const auto result = client_.send(
                next.address,
                {"POST", "/v1/worker-events", {}, {}, std::move(next.body)});
            const bool accepted = result.ok() && result.answer.status == 200;
            loop_.post([done = std::move(next.done), accepted]
                       { done(accepted); });
        }
    }

    event_loop& loop_;
    http::client client_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<item> queue_;
    // Never joined: the program ends without destructors.
    std::vector<std::thread> threads_;
};

} // namespace coltsfootrack::standins

#endif
