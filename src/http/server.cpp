// The HTTP server over libmicrohttpd.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/http/json_response.hpp>
#include <coltsfootrack/http/server.hpp>

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <exception>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootrack::http
{
namespace
{

// A body that exceeds the limit by more than this factor is not read to its
// end, so the client may see a connection reset instead of the answer.
constexpr std::size_t drain_factor = 4;

// Connections above the limit that are still answered, with overloaded.
// Further ones are closed without an answer.
constexpr std::size_t excess_connections = 16;

// One request and its state until it is answered.
struct exchange
{
    // The connection is above the limit.
    bool excess_connection = false;
    request message;
    bool too_large = false;
    std::size_t received = 0;
};

void log_library_message(void* /*context*/, const char* format,
                         va_list arguments)
{
    std::array<char, 512> line{};
    const int length =
        std::vsnprintf(line.data(), line.size(), format, arguments);
    if (length > 0)
    {
        std::string_view text(line.data());
        text = text.substr(0, text.find('\n'));
        base::write_log(base::log_level::debug, "http", text);
    }
}

MHD_Result add_header(void* target, MHD_ValueKind /*kind*/, const char* name,
                      const char* value)
{
    static_cast<header_list*>(target)->add(name, value ? value : "");
    return MHD_YES;
}

MHD_Result add_argument(void* target, MHD_ValueKind /*kind*/, const char* name,
                        const char* value)
{
    static_cast<std::map<std::string, std::string>*>(target)->emplace(
        name, value ? value : "");
    return MHD_YES;
}

response too_large_response(std::size_t limit)
{
    return error_response(base::make_error(
        base::error_kind::body_too_large,
        "the body is longer than " + std::to_string(limit) + " bytes"));
}

} // namespace

class server::state
{
public:
    server_options options;
    handler handle;
    MHD_Daemon* daemon = nullptr;
    std::uint16_t port = 0;
    std::atomic<bool> closing{false};

    // Returns whether the new connection is above the limit.
    bool connection_opened()
    {
        return ++connections_ > options.max_connections;
    }

    void connection_closed()
    {
        --connections_;
    }

    MHD_Result begin(MHD_Connection* connection, exchange& current) const
    {
        const MHD_ConnectionInfo* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        current.excess_connection =
            info != nullptr && info->socket_context != nullptr;
        const char* declared = MHD_lookup_connection_value(
            connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
        std::uint64_t length = 0;
        if (declared == nullptr || !absl::SimpleAtoi(declared, &length))
        {
            return MHD_YES;
        }
        if (length > options.max_body_bytes)
        {
            current.too_large = true;
            if (length > drain_limit())
            {
                return queue(connection, too_large_response(limit()));
            }
            return MHD_YES;
        }
        current.message.body.reserve(length);
        return MHD_YES;
    }

    MHD_Result receive(exchange& current, const char* data,
                       std::size_t size) const
    {
        current.received += size;
        if (current.received > limit())
        {
            current.too_large = true;
            current.message.body.clear();
        }
        if (!current.too_large)
        {
            current.message.body.append(data, size);
        }
        return current.received > drain_limit() ? MHD_NO : MHD_YES;
    }

    MHD_Result finish(MHD_Connection* connection, exchange& current,
                      const char* url, const char* method) const
    {
        if (current.too_large)
        {
            return queue(connection, too_large_response(limit()));
        }
        if (current.excess_connection)
        {
            response answer = error_response(base::make_error(
                base::error_kind::overloaded, "too many connections"));
            answer.headers.add(MHD_HTTP_HEADER_CONNECTION, "close");
            return queue(connection, answer);
        }
        current.message.method = method;
        current.message.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &add_header,
                                  &current.message.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                  &add_argument, &current.message.query);
        return queue(connection, answer_to(current.message));
    }

    void count_started()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++in_flight_;
    }

    void count_finished()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        --in_flight_;
        idle_.notify_all();
    }

    std::size_t in_flight() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return in_flight_;
    }

    bool wait_idle(base::duration limit) const
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return idle_.wait_for(lock, limit, [this] { return in_flight_ == 0; });
    }

    void stop_accepting()
    {
        const std::lock_guard<std::mutex> lock(lifecycle_mutex_);
        closing = true;
        if (daemon == nullptr || listener_ >= 0)
        {
            return;
        }
        listener_ = MHD_quiesce_daemon(daemon);
        if (listener_ >= 0)
        {
            // Otherwise the kernel would still accept connections, which nobody
            // serves.
            ::shutdown(listener_, SHUT_RDWR);
        }
    }

    void stop()
    {
        const std::lock_guard<std::mutex> lock(lifecycle_mutex_);
        if (daemon != nullptr)
        {
            MHD_stop_daemon(daemon);
            daemon = nullptr;
        }
        if (listener_ >= 0)
        {
            ::close(listener_);
            listener_ = -1;
        }
    }

private:
    std::size_t limit() const
    {
        return options.max_body_bytes;
    }

    std::size_t drain_limit() const
    {
        return drain_factor * options.max_body_bytes;
    }

    response answer_to(const request& message) const
    {
        try
        {
            return handle(message);
        }
        catch (const std::exception& error)
        {
            base::log(base::log_level::error, "http",
                      "Handler failed. path={} error={}", message.path,
                      error.what());
            return error_response(base::make_error(
                base::error_kind::internal, "the request handler failed"));
        }
    }

    MHD_Result queue(MHD_Connection* connection, const response& answer) const
    {
        MHD_Response* message = MHD_create_response_from_buffer(
            answer.body.size(),
            const_cast<char*>(answer.body.data()), // NOLINT: not written to
            MHD_RESPMEM_MUST_COPY);
        if (message == nullptr)
        {
            return MHD_NO;
        }
        for (const header_list::field& field : answer.headers.fields())
        {
            MHD_add_response_header(message, field.first.c_str(),
                                    field.second.c_str());
        }
        if (closing)
        {
            MHD_add_response_header(message, MHD_HTTP_HEADER_CONNECTION,
                                    "close");
        }
        const MHD_Result result = MHD_queue_response(
            connection, static_cast<unsigned>(answer.status), message);
        MHD_destroy_response(message);
        return result;
    }

    std::atomic<std::size_t> connections_{0};
    std::mutex lifecycle_mutex_;
    int listener_ = -1;
    mutable std::mutex mutex_;
    mutable std::condition_variable idle_;
    std::size_t in_flight_ = 0;
};

absl::StatusOr<std::unique_ptr<server>>
server::start(const server_options& options, handler handle)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "'" + options.address +
                                    "' is not a numeric address");
    }
    auto started = std::make_unique<state>();
    started->options = options;
    started->handle = std::move(handle);

    const MHD_AccessHandlerCallback on_access =
        [](void* context, MHD_Connection* connection, const char* url,
           const char* method, const char* /*version*/, const char* data,
           std::size_t* size, void** request_context) -> MHD_Result
    {
        auto& self = *static_cast<state*>(context);
        if (*request_context == nullptr)
        {
            auto* current = new exchange;
            *request_context = current;
            self.count_started();
            return self.begin(connection, *current);
        }
        auto& current = *static_cast<exchange*>(*request_context);
        if (*size > 0)
        {
            const MHD_Result result = self.receive(current, data, *size);
            *size = 0;
            return result;
        }
        return self.finish(connection, current, url, method);
    };
    const MHD_RequestCompletedCallback on_completed =
        [](void* context, MHD_Connection* /*connection*/,
           void** request_context, MHD_RequestTerminationCode /*code*/)
    {
        if (*request_context != nullptr)
        {
            delete static_cast<exchange*>(*request_context);
            *request_context = nullptr;
            static_cast<state*>(context)->count_finished();
        }
    };

    const MHD_NotifyConnectionCallback on_connection =
        [](void* context, MHD_Connection* /*connection*/,
           void** connection_context, MHD_ConnectionNotificationCode code)
    {
        auto& self = *static_cast<state*>(context);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
        {
            *connection_context = self.connection_opened() ? &self : nullptr;
        }
        else
        {
            self.connection_closed();
        }
    };

    started->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC | MHD_USE_ERROR_LOG,
        options.port, nullptr, nullptr, on_access, started.get(),
        MHD_OPTION_EXTERNAL_LOGGER, &log_library_message, nullptr,
        MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&address),
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, started.get(),
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(options.max_connections + excess_connections),
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, started.get(),
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(options.idle_timeout.count()),
        MHD_OPTION_THREAD_STACK_SIZE, options.thread_stack_bytes,
        MHD_OPTION_END);
    if (started->daemon == nullptr)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "cannot listen on " + options.address + ":" +
                                    std::to_string(options.port));
    }
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(started->daemon, MHD_DAEMON_INFO_BIND_PORT);
    started->port = info != nullptr ? info->port : options.port;
    return std::unique_ptr<server>(new server(std::move(started)));
}

server::server(std::unique_ptr<state> state)
    : state_(std::move(state))
{
}

server::~server()
{
    stop();
}

std::uint16_t server::port() const
{
    return state_->port;
}

void server::stop_accepting()
{
    state_->stop_accepting();
}

std::size_t server::in_flight() const
{
    return state_->in_flight();
}

bool server::wait_idle(base::duration limit) const
{
    return state_->wait_idle(limit);
}

void server::stop()
{
    state_->stop();
}

} // namespace coltsfootrack::http
