// A thread pool that makes blocking HTTP calls for the control thread.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/daemon/call_pool.hpp>

#include <utility>

namespace coltsfootrack::daemon
{
namespace
{

http::client_options make_options()
{
    http::client_options options;
    options.max_idle_connections = 512;
    return options;
}

} // namespace

call_pool::call_pool(const base::clock& clock, control_loop& loop,
                     std::size_t threads)
    : clock_(clock)
    , loop_(loop)
    , client_(make_options())
{
    for (std::size_t i = 0; i < threads; ++i)
    {
        threads_.emplace_back([this] { run(); });
    }
}

call_pool::~call_pool()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
        queue_.clear();
    }
    wake_.notify_all();
    for (std::thread& thread : threads_)
    {
        thread.join();
    }
}

void call_pool::call(std::string address, http::request message,
                     std::chrono::milliseconds timeout,
                     base::time_point send_before, callback done)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        queue_.push_back({std::move(address), std::move(message), timeout,
                          send_before, std::move(done)});
    }
    wake_.notify_one();
}

void call_pool::run()
{
    for (;;)
    {
        queued_call next;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            wake_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
            if (stopped_)
            {
                return;
            }
            next = std::move(queue_.front());
            queue_.pop_front();
        }
        http::client_result result;
        if (clock_.now() >= next.send_before)
        {
            result.status =
                base::make_error(base::error_kind::not_owner,
                                 "the lease ended before the call was sent");
        }
        else
        {
            result = client_.send(next.address, next.message, next.timeout);
        }
        loop_.post([done = std::move(next.done), result = std::move(result)]
                   { done(result); });
    }
}

} // namespace coltsfootrack::daemon
