// The blocking HTTP client over libcurl.

#include "transfer.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/client.hpp>

#include <algorithm>
#include <list>
#include <mutex>

namespace coltsfootrack::http
{

// The idle handles. Each keeps the connection of its last call open.
class client::pool
{
public:
    explicit pool(std::size_t max_idle)
        : max_idle_(max_idle)
    {
    }

    pool(const pool&) = delete;
    pool& operator=(const pool&) = delete;

    ~pool()
    {
        for (const entry& idle : idle_)
        {
            curl_easy_cleanup(idle.handle);
        }
    }

    // The most recently used handle for this address, or a new one.
    CURL* acquire(const std::string& address)
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto found = std::find_if(idle_.begin(), idle_.end(),
                                            [&address](const entry& idle) {
                                                return idle.address == address;
                                            });
            if (found != idle_.end())
            {
                CURL* handle = found->handle;
                idle_.erase(found);
                return handle;
            }
        }
        return curl_easy_init();
    }

    // Puts a handle back. If there are too many, closes the least recently used
    // one.
    void release(const std::string& address, CURL* handle)
    {
        CURL* closed = nullptr;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            idle_.push_front({address, handle});
            if (idle_.size() > max_idle_)
            {
                closed = idle_.back().handle;
                idle_.pop_back();
            }
        }
        if (closed != nullptr)
        {
            curl_easy_cleanup(closed);
        }
    }

private:
    struct entry
    {
        std::string address;
        CURL* handle;
    };

    std::size_t max_idle_;
    std::mutex mutex_;
    std::list<entry> idle_;
};

client::client(const client_options& options)
    : options_(options)
    , pool_(std::make_unique<pool>(options.max_idle_connections))
{
    initialize_curl();
}

client::~client() = default;

client_traffic client::traffic() const
{
    return {sent_bytes_.load(), received_bytes_.load()};
}

client_result client::send(const std::string& address, const request& message)
{
    return send(address, message, options_.total_timeout);
}

client_result client::send(const std::string& address, const request& message,
                           std::chrono::milliseconds total_timeout)
{
    client_result result;
    const std::string error = validation_error(address, message);
    CURL* handle = error.empty() ? pool_->acquire(address) : nullptr;
    if (handle == nullptr)
    {
        result.status =
            base::make_error(error.empty() ? base::error_kind::overloaded
                                           : base::error_kind::invalid_request,
                             error.empty() ? "out of memory" : error);
        return result;
    }
    transfer current;
    curl_slist* headers =
        configure(handle, address, message, options_, total_timeout,
                  timeout_enforcement::by_library, current);
    const CURLcode code = curl_easy_perform(handle);
    sent_bytes_ += bytes_sent(handle, message);
    received_bytes_ += current.header_bytes + current.answer.body.size();
    result = result_of(handle, code, message, current);
    // The options of the handle point to data of this call.
    curl_easy_reset(handle);
    curl_slist_free_all(headers);
    pool_->release(address, handle);
    return result;
}

} // namespace coltsfootrack::http
