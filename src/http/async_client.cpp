// The asynchronous HTTP client: the multi interface of libcurl on one thread.

#include "transfer.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/http/async_client.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace coltsfootrack::http
{
namespace
{

// Handles kept for the next calls.
constexpr std::size_t max_spare_handles = 64;

// The thread wakes at least this often, to see the end of the client.
constexpr int max_wait_ms = 1000;

// One call, from its acceptance to its callback.
struct call
{
    std::string address;
    request message;
    std::chrono::milliseconds timeout{0};
    async_client::callback done;
    transfer current;
    curl_slist* fields = nullptr;
};

} // namespace

class async_client::impl
{
public:
    impl(const client_options& options, std::size_t connections_per_address)
        : options_(options)
    {
        initialize_library();
        multi_ = curl_multi_init();
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
        curl_multi_wakeup(multi_);
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
            curl_multi_wakeup(multi_);
        }
    }

    std::size_t in_flight() const
    {
        return in_flight_.load();
    }

private:
    void run()
    {
        while (!stopping_)
        {
            start_accepted();
            int active = 0;
            curl_multi_perform(multi_, &active);
            finish_done();
            if (has_accepted())
            {
                continue;
            }
            curl_multi_poll(multi_, nullptr, 0, max_wait_ms, nullptr);
        }
    }

    bool has_accepted()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return !accepted_.empty();
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
                               next->timeout, next->current);
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
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = running_.find(handle);
            std::unique_ptr<call> ended = std::move(found->second);
            running_.erase(found);
            client_result result =
                result_of(handle, code, ended->message, ended->current);
            curl_multi_remove_handle(multi_, handle);
            curl_slist_free_all(ended->fields);
            give_back(handle);
            finish(*ended, std::move(result));
        }
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
    CURLM* multi_ = nullptr;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> in_flight_{0};
    std::mutex mutex_;
    std::vector<std::unique_ptr<call>> accepted_;
    // Only the thread uses what follows.
    std::map<CURL*, std::unique_ptr<call>> running_;
    std::vector<CURL*> spare_;
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
