// The asynchronous HTTP client: the multi interface of libcurl on one thread.
//
// The thread waits with epoll and tells libcurl which sockets are ready, since
// curl_multi_perform looks at every call in flight each time, and a leader has
// a waiting call at each worker.
//
// The thread also ends calls that take too long. libcurl looks at the time of a
// call before it reads its socket, so that a thread that runs late would lose
// answers that have arrived.

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

// Handles kept for the next calls.
constexpr std::size_t max_spare_handles = 64;

// The thread wakes at least this often, to see the end of the client.
constexpr long max_wait_ms = 1000;

// Ready sockets handled before the next wait.
constexpr int max_events = 64;

// A call whose time has passed while its answer is being read gets at most so
// many more rounds.
constexpr int max_extra_rounds = 64;

using steady = std::chrono::steady_clock;

// One call, from its acceptance to its callback.
struct call
{
    std::string address;
    request message;
    std::chrono::milliseconds timeout{0};
    async_client::callback done;
    transfer current;
    curl_slist* fields = nullptr;
    // When it is given up next, unless more of it has happened by then.
    std::multimap<steady::time_point, CURL*>::iterator deadline;
    // What was received when its time had passed, and the rounds since then.
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
        initialize_library();
        epoll_ = epoll_create1(EPOLL_CLOEXEC);
        wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = wake_;
        epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
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
            curl_slist_free_all(running->fields);
        }
        for (CURL* handle : spare_)
        {
            curl_easy_cleanup(handle);
        }
        curl_multi_cleanup(multi_);
        ::close(wake_);
        ::close(epoll_);
    }

    void send(std::unique_ptr<call> next)
    {
        ++in_flight_;
        bool first = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            first = accepted_.empty();
            accepted_.push_back(std::move(next));
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

private:
    // libcurl wants to know when a socket is ready.
    static int on_socket(CURL* /*handle*/, curl_socket_t socket, int what,
                         void* context, void* known)
    {
        auto& self = *static_cast<impl*>(context);
        if (what == CURL_POLL_REMOVE)
        {
            epoll_ctl(self.epoll_, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.data.fd = socket;
        event.events = (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
        event.events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
        const int operation = known != nullptr ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
        if (epoll_ctl(self.epoll_, operation, socket, &event) != 0)
        {
            base::log(base::log_level::error, "http",
                      "Socket cannot be waited for. error={}",
                      std::strerror(errno));
        }
        curl_multi_assign(self.multi_, socket, &self);
        return 0;
    }

    // libcurl wants to be called after a time; -1 for never.
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
        // Fails only if the counter is full, and then the thread wakes anyway.
        [[maybe_unused]] const ssize_t written = write(wake_, &one, sizeof one);
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
            start_accepted();
            const steady::time_point polled_at = steady::now();
            const int count = epoll_wait(epoll_, events.data(), max_events,
                                         wait_ms(polled_at));
            int active = 0;
            for (int i = 0; i < count; ++i)
            {
                const epoll_event& event = events[static_cast<std::size_t>(i)];
                if (event.data.fd == wake_)
                {
                    std::uint64_t ignored = 0;
                    [[maybe_unused]] const ssize_t size =
                        read(wake_, &ignored, sizeof ignored);
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
            finish_done();
            if (count < max_events)
            {
                // Everything that was ready has been read.
                expire(polled_at);
            }
        }
    }

    // Ends the calls whose time had passed before the sockets were polled. A
    // thread that runs late thus takes answers that came in time.
    void expire(steady::time_point polled_at)
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
                end(handle, CURLE_OPERATION_TIMEDOUT);
            }
        }
    }

    // The next deadline of a call that has not ended by its last one; nothing
    // if it is to be given up.
    std::optional<steady::time_point>
    next_deadline(call& late, steady::time_point polled_at)
    {
        const transfer& current = late.current;
        if (current.sends == 0)
        {
            return std::nullopt;
        }
        const auto answer_by = current.sent_at + late.timeout;
        if (answer_by > polled_at)
        {
            return answer_by;
        }
        const std::size_t received =
            current.header_bytes + current.answer.body.size();
        if (received == late.received || late.extra_rounds == max_extra_rounds)
        {
            return std::nullopt;
        }
        late.received = received;
        ++late.extra_rounds;
        return steady::now();
    }

    void start_accepted()
    {
        std::vector<std::unique_ptr<call>> accepted;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            accepted.swap(accepted_);
        }
        for (std::unique_ptr<call>& next : accepted)
        {
            start(std::move(next));
        }
    }

    void start(std::unique_ptr<call> next)
    {
        const std::string fault = fault_of(next->address, next->message);
        CURL* handle = fault.empty() ? take_handle() : nullptr;
        if (handle == nullptr)
        {
            client_result result;
            result.status = base::make_error(
                fault.empty() ? base::error_kind::overloaded
                              : base::error_kind::invalid_request,
                fault.empty() ? "out of memory" : fault);
            finish(*next, std::move(result));
            return;
        }
        next->fields = prepare(handle, next->address, next->message, options_,
                               next->timeout, expiry::by_caller, next->current);
        next->deadline = deadlines_.emplace(
            steady::now() + std::min(next->timeout, options_.connect_timeout),
            handle);
        curl_multi_add_handle(multi_, handle);
        running_.emplace(handle, std::move(next));
    }

    void finish_done()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            end(message->easy_handle, message->data.result);
        }
    }

    // Ends a call, which closes its connection if the answer is not complete.
    void end(CURL* handle, CURLcode code)
    {
        const auto found = running_.find(handle);
        std::unique_ptr<call> ended = std::move(found->second);
        running_.erase(found);
        deadlines_.erase(ended->deadline);
        client_result result =
            result_of(handle, code, ended->message, ended->current);
        curl_multi_remove_handle(multi_, handle);
        curl_slist_free_all(ended->fields);
        give_back(handle);
        finish(*ended, std::move(result));
    }

    void finish(call& ended, client_result result)
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

    CURL* take_handle()
    {
        if (spare_.empty())
        {
            return curl_easy_init();
        }
        CURL* handle = spare_.back();
        spare_.pop_back();
        return handle;
    }

    void give_back(CURL* handle)
    {
        if (spare_.size() >= max_spare_handles)
        {
            curl_easy_cleanup(handle);
            return;
        }
        curl_easy_reset(handle);
        spare_.push_back(handle);
    }

    client_options options_;
    int epoll_ = -1;
    int wake_ = -1;
    CURLM* multi_ = nullptr;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> in_flight_{0};
    std::mutex mutex_;
    std::vector<std::unique_ptr<call>> accepted_;
    // Only the thread uses what follows.
    std::map<CURL*, std::unique_ptr<call>> running_;
    std::multimap<steady::time_point, CURL*> deadlines_;
    std::vector<CURL*> spare_;
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
                        std::chrono::milliseconds total_timeout, callback done)
{
    auto next = std::make_unique<call>();
    next->address = address;
    next->message = std::move(message);
    next->timeout = total_timeout;
    next->done = std::move(done);
    impl_->send(std::move(next));
}

std::size_t async_client::in_flight() const
{
    return impl_->in_flight();
}

} // namespace coltsfootrack::http
