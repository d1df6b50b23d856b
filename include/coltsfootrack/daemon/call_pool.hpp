#ifndef COLTSFOOTRACK_DAEMON_CALL_POOL_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_CALL_POOL_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/http/client.hpp>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::daemon
{

// A thread pool for the HTTP calls to workers, so that the control thread never
// blocks on the network.
//
// Limits: the caller keeps at most one call per worker queued or running, which
// bounds the queue by the number of workers.
//
// Thread safety: call may be called from any thread.
class call_pool
{
public:
    using callback = std::function<void(const http::client_result&)>;

    call_pool(const base::clock& clock, control_loop& loop,
              std::size_t threads);

    // Waits for calls in flight and drops queued ones.
    ~call_pool();

    call_pool(const call_pool&) = delete;
    call_pool& operator=(const call_pool&) = delete;

    // Queues a call; `done` runs on the control thread. A call that is taken
    // from the queue after `send_before` is not sent and fails as not_owner:
    // the owner's lease has ended.
    void call(std::string address, http::request message,
              std::chrono::milliseconds timeout, base::time_point send_before,
              callback done);

    // The bytes of all calls since the start.
    http::client_traffic traffic() const
    {
        return client_.traffic();
    }

private:
    struct queued_call
    {
        std::string address;
        http::request message;
        std::chrono::milliseconds timeout;
        base::time_point send_before;
        callback done;
    };

    void run();

    const base::clock& clock_;
    control_loop& loop_;
    http::client client_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<queued_call> queue_;
    bool stopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace coltsfootrack::daemon

#endif
