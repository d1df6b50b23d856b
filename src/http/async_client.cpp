// The asynchronous HTTP client: the multi interface of libcurl on one thread.
//
// The thread waits with epoll and tells libcurl which sockets are ready:
// curl_multi_perform would examine every call in flight each time, and a leader
// has one in flight at each worker.
//
// The thread also enforces the timeouts. libcurl checks the timeout of a call
// before it reads its socket, so that a late thread would lose answers that
// have arrived.

#include "transfer.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/http/async_client.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <map>
#include <mutex>
#include <optional>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace coltsfootrack::http
{
namespace
{

// Handles kept for reuse.
constexpr std::size_t max_idle_handles = 64;

// The thread wakes at least this often, to check whether it must stop.
constexpr long max_wait_ms = 1000;

// The maximum number of events that one epoll_wait returns.
constexpr int max_events = 64;

// A call that times out while its answer is being read gets at most this many
// more rounds.
constexpr int max_extra_rounds = 64;

using steady = std::chrono::steady_clock;

// One call, from send to its callback.
struct call
{
    std::string address;
    request message;
    call_options options;
    async_client::callback done;
    transfer current;
    curl_slist* headers = nullptr;
    // When it fails, unless it has made progress by then.
    std::multimap<steady::time_point, CURL*>::iterator deadline;
    // The bytes received when it timed out or was last looked at, and the
    // rounds since then.
    std::size_t received = 0;
    int extra_rounds = 0;
};

} // namespace

class async_client::impl
{
public:
    impl(const client_options& options, std::size_t connections_per_address)
        : options_(options)
    {
        initialize_curl();
        epoll_fd_ = epoll_create1(EPOLL_CLOEXEC);
        wake_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = wake_fd_;
        epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, wake_fd_, &event);
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
        curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(connections_per_address));
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                          static_cast<long>(options.max_idle_connections));
        thread_ = std::thread([this] { run(); });
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    ~impl()
    {
        stopping_ = true;
        wake();
        thread_.join();
        for (auto& [handle, running] : running_)
        {
            curl_multi_remove_handle(multi_, handle);
            curl_easy_cleanup(handle);
            curl_slist_free_all(running->headers);
        }
        for (CURL* handle : idle_handles_)
        {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(multi_);
        ::close(wake_fd_);
        ::close(epoll_fd_);
    }

    void send(std::unique_ptr<call> new_call)
    {
        ++in_flight_;
        bool first = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            first = queued_.empty();
            queued_.push_back(std::move(new_call));
        }
        if (first)
        {
            wake();
        }
    }

    std::size_t in_flight() const
    {
        return in_flight_.load();
    }

    std::map<std::string, client_traffic> traffic() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return traffic_;
    }

private:
    // CURLMOPT_SOCKETFUNCTION: changes the events to wait for on a socket.
    static int on_socket(CURL* /*handle*/, curl_socket_t socket, int what,
                         void* context, void* known)
    {
        auto& self = *static_cast<impl*>(context);
        if (what == CURL_POLL_REMOVE)
        {
            epoll_ctl(self.epoll_fd_, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.data.fd = socket;
        event.events = (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
        event.events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
        const int operation = known != nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
        if (epoll_ctl(self.epoll_fd_, operation, socket, &event) != 0)
        {
            base::log(base::log_level::error, "http",
                      "Cannot register socket with epoll. error={}",
                      std::strerror(errno));
        }
        curl_multi_assign(self.multi_, socket, &self);
        return 0;
    }

    // CURLMOPT_TIMERFUNCTION: sets when libcurl must be called; -1 for never.
    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* context)
    {
        auto& self = *static_cast<impl*>(context);
        self.has_timer_ = timeout_ms >= 0;
        self.timer_ =
            steady::now() + std::chrono::milliseconds(std::max(0L, timeout_ms));
        return 0;
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        // Fails only if the counter would overflow; the thread then wakes
        // anyway.
        [[maybe_unused]] const ssize_t written =
            write(wake_fd_, &one, sizeof one);
    }

    int wait_ms(steady::time_point now) const
    {
        auto end = now + std::chrono::milliseconds(max_wait_ms);
        if (has_timer_)
        {
            end = std::min(end, timer_);
        }
        if (!deadlines_.empty())
        {
            end = std::min(end, deadlines_.begin()->first);
        }
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(end - now);
        return static_cast<int>(
            std::clamp<std::int64_t>(left.count(), 0, max_wait_ms));
    }

    void run()
    {
        std::array<epoll_event, max_events> events{};
        while (!stopping_)
        {
            start_queued();
            const steady::time_point polled_at = steady::now();
            const int count = epoll_wait(epoll_fd_, events.data(), max_events,
                                         wait_ms(polled_at));
            int active = 0;
            for (int i = 0; i < count; ++i)
            {
                const epoll_event& event = events[static_cast<std::size_t>(i)];
                if (event.data.fd == wake_fd_)
                {
                    std::uint64_t ignored = 0;
                    [[maybe_unused]] const ssize_t size =
                        read(wake_fd_, &ignored, sizeof ignored);
                    continue;
                }
                const int ready =
                    ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
                    ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                    ((event.events & (EPOLLERR | EPOLLHUP)) != 0
                         ? CURL_CSELECT_ERR
                         : 0);
                curl_multi_socket_action(multi_, event.data.fd, ready, &active);
            }
            if (has_timer_ && timer_ <= steady::now())
            {
                has_timer_ = false;
                curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0,
                                         &active);
            }
            end_completed();
            if (count < max_events)
            {
                // All ready sockets have been read.
                end_timed_out(polled_at);
            }
        }
    }

    // Ends the calls that had timed out before the sockets were polled, so that
    // a late thread still accepts answers that arrived in time.
    void end_timed_out(steady::time_point polled_at)
    {
        while (!deadlines_.empty() && deadlines_.begin()->first <= polled_at)
        {
            CURL* const handle = deadlines_.begin()->second;
            call& late = *running_.at(handle);
            deadlines_.erase(deadlines_.begin());
            const auto later = next_deadline(late, polled_at);
            late.deadline =
                deadlines_.emplace(later.value_or(polled_at), handle);
            if (!later)
            {
                end_call(handle, CURLE_OPERATION_TIMEDOUT);
            }
        }
    }

    // The new deadline of a call that has reached its last one; nothing if it
    // has timed out.
    std::optional<steady::time_point>
    next_deadline(call& late, steady::time_point polled_at)
    {
        const transfer& current = late.current;
        if (current.send_attempts == 0)
        {
            return std::nullopt;
        }
        const auto answer_by = current.sent_at + late.options.timeout;
        if (answer_by > polled_at)
        {
            return answer_by;
        }
        const std::size_t received =
            current.header_bytes + current.answer.body.size();
        if (late.options.stall_timeout.count() > 0)
        {
            const auto longest = current.sent_at + late.options.longest;
            if (received == late.received || longest <= polled_at)
            {
                return std::nullopt;
            }
            late.received = received;
            return std::min(longest,
                            steady::now() + late.options.stall_timeout);
        }
        if (received == late.received || late.extra_rounds == max_extra_rounds)
        {
            return std::nullopt;
        }
        late.received = received;
        ++late.extra_rounds;
        return steady::now();
    }

    void start_queued()
    {
        std::vector<std::unique_ptr<call>> queued;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            queued.swap(queued_);
        }
        for (std::unique_ptr<call>& new_call : queued)
        {
            start(std::move(new_call));
        }
    }

    void start(std::unique_ptr<call> new_call)
    {
        const std::string error =
            validation_error(new_call->address, new_call->message);
        CURL* handle = error.empty() ? acquire_handle() : nullptr;
        if (handle == nullptr)
        {
            client_result result;
            result.status = base::make_error(
                error.empty() ? base::error_kind::overloaded
                              : base::error_kind::invalid_request,
                error.empty() ? "out of memory" : error);
            run_callback(*new_call, std::move(result));
            return;
        }
        new_call->headers =
            configure(handle, new_call->address, new_call->message, options_,
                      new_call->options.timeout, timeout_enforcement::by_caller,
                      new_call->current);
        new_call->deadline = deadlines_.emplace(
            steady::now() +
                std::min(new_call->options.timeout, options_.connect_timeout),
            handle);
        curl_multi_add_handle(multi_, handle);
        running_.emplace(handle, std::move(new_call));
    }

    void end_completed()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            end_call(message->easy_handle, message->data.result);
        }
    }

    // Ends a call; its connection is closed if the answer is incomplete.
    void end_call(CURL* handle, CURLcode code)
    {
        const auto found = running_.find(handle);
        std::unique_ptr<call> ended = std::move(found->second);
        running_.erase(found);
        deadlines_.erase(ended->deadline);
        count_bytes(handle, *ended);
        client_result result =
            result_of(handle, code, ended->message, ended->current);
        curl_multi_remove_handle(multi_, handle);
        curl_slist_free_all(ended->headers);
        release_handle(handle);
        run_callback(*ended, std::move(result));
    }

    void count_bytes(CURL* handle, const call& ended)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        client_traffic& counts = traffic_[ended.message.path];
        counts.sent += bytes_sent(handle, ended.message);
        counts.received +=
            ended.current.header_bytes + ended.current.answer.body.size();
    }

    void run_callback(call& ended, client_result result)
    {
        --in_flight_;
        try
        {
            ended.done(std::move(result));
        }
        catch (const std::exception& error)
        {
            base::log(base::log_level::error, "http",
                      "Callback failed. path={} error={}", ended.message.path,
                      error.what());
        }
    }

    CURL* acquire_handle()
    {
        if (idle_handles_.empty())
        {
            return curl_easy_init();
        }
        CURL* handle = idle_handles_.back();
        idle_handles_.pop_back();
        return handle;
    }

    void release_handle(CURL* handle)
    {
        if (idle_handles_.size() >= max_idle_handles)
        {
            curl_easy_cleanup(handle);
            return;
        }
        curl_easy_reset(handle);
        idle_handles_.push_back(handle);
    }

    client_options options_;
    int epoll_fd_ = -1;
    int wake_fd_ = -1;
    CURLM* multi_ = nullptr;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> in_flight_{0};
    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<call>> queued_;
    std::map<std::string, client_traffic> traffic_;
    // The members below are used only by the thread.
    std::map<CURL*, std::unique_ptr<call>> running_;
    std::multimap<steady::time_point, CURL*> deadlines_;
    std::vector<CURL*> idle_handles_;
    bool has_timer_ = false;
    steady::time_point timer_;
    std::thread thread_;
};

async_client::async_client(const client_options& options,
                           std::size_t connections_per_address)
    : impl_(std::make_unique<impl>(options, connections_per_address))
{
}

async_client::~async_client() = default;

void async_client::send(const std::string& address, request message,
                        const call_options& options, callback done)
{
    auto new_call = std::make_unique<call>();
    new_call->address = address;
    new_call->message = std::move(message);
    new_call->options = options;
    new_call->done = std::move(done);
    new_call->current.may_send = options.may_send;
    impl_->send(std::move(new_call));
}

void async_client::send(const std::string& address, request message,
                        std::chrono::milliseconds total_timeout, callback done)
{
    call_options options;
    options.timeout = total_timeout;
    send(address, std::move(message), options, std::move(done));
}

std::map<std::string, client_traffic> async_client::traffic() const
{
    return impl_->traffic();
}

std::size_t async_client::in_flight() const
{
    return impl_->in_flight();
}

} // namespace coltsfootrack::http
