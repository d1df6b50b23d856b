// Passes an answer from the control thread to a connection thread.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/daemon/pending_reply.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

class reply_slot
{
public:
    void set(http::response value)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (value_)
            {
                return;
            }
            value_ = std::move(value);
        }
        ready_.notify_one();
    }

    std::optional<http::response> wait(base::duration timeout)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ready_.wait_for(lock, timeout, [this] { return value_.has_value(); });
        return value_;
    }

private:
    std::mutex mutex_;
    std::condition_variable ready_;
    std::optional<http::response> value_;
};

} // namespace

http::response run_and_wait(control_loop& loop, base::duration timeout,
                            const std::function<void(reply_function)>& action,
                            http::response timeout_answer)
{
    auto slot = std::make_shared<reply_slot>();
    const bool queued = loop.try_post(
        [slot, action] {
            action([slot](http::response value)
                   { slot->set(std::move(value)); });
        });
    if (!queued)
    {
        return http::error_response(
            base::make_error(base::error_kind::overloaded,
                             "the event queue of this daemon is full"));
    }
    auto value = slot->wait(timeout);
    return value ? std::move(*value) : std::move(timeout_answer);
}

} // namespace coltsfootrack::daemon
