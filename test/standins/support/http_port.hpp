#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_HTTP_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_HTTP_PORT_HPP_INCLUDED

#include "event_loop.hpp"
#include "exchange.hpp"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string>

namespace coltsfootrack::standins
{

// An HTTP server on one port, served by an event loop. It must live until the
// program ends. Bodies are limited to 64 MiB.
class http_port
{
public:
    using handler = std::function<void(const std::shared_ptr<exchange>&)>;

    // Listens on the address; port 0 lets the operating system choose. The
    // program ends with status 1 if it cannot listen.
    http_port(event_loop& loop, const std::string& address, std::uint16_t port,
              handler handle)
        : handle_(std::move(handle))
    {
        sockaddr_in socket_address{};
        socket_address.sin_family = AF_INET;
        socket_address.sin_port = htons(port);
        inet_pton(AF_INET, address.c_str(), &socket_address.sin_addr);
        daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, nullptr, nullptr,
            &on_access, this, MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr*>(&socket_address),
            MHD_OPTION_NOTIFY_COMPLETED, &on_completed, this,
            MHD_OPTION_CONNECTION_LIMIT, 4096U, MHD_OPTION_END);
        if (daemon_ == nullptr)
        {
            fmt::print(stderr, "cannot listen on {}:{}\n", address, port);
            std::_Exit(1);
        }
        port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
        loop.watch(
            MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd,
            POLLIN, [this](short) { MHD_run(daemon_); });
        loop.before_wait([this] { return run_pending(); });
    }

    http_port(const http_port&) = delete;
    http_port& operator=(const http_port&) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

private:
    using exchange_ptr = std::shared_ptr<exchange>;

    static constexpr std::size_t max_body_bytes = std::size_t{64} << 20U;

    // Serves connections that were resumed or have buffered input, and returns
    // whether there is more to do at once.
    bool run_pending()
    {
        MHD_UNSIGNED_LONG_LONG timeout = 1;
        // MHD_get_timeout does not report resumed connections.
        if (resumed_ ||
            (MHD_get_timeout(daemon_, &timeout) == MHD_YES && timeout == 0))
        {
            resumed_ = false;
            MHD_run(daemon_);
            timeout = 1;
            return MHD_get_timeout(daemon_, &timeout) == MHD_YES &&
                   timeout == 0;
        }
        return false;
    }

    static MHD_Result add_header(void* target, MHD_ValueKind /*kind*/,
                                 const char* name, const char* value)
    {
        static_cast<http::header_list*>(target)->add(name, value ? value : "");
        return MHD_YES;
    }

    static MHD_Result add_argument(void* target, MHD_ValueKind /*kind*/,
                                   const char* name, const char* value)
    {
        static_cast<std::map<std::string, std::string>*>(target)->emplace(
            name, value ? value : "");
        return MHD_YES;
    }

    static MHD_Result on_access(void* context, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* /*version*/, const char* data,
                                std::size_t* size, void** state)
    {
        if (*state == nullptr)
        {
            auto* opened = new exchange_ptr(std::make_shared<exchange>());
            (*opened)->connection_ = connection;
            (*opened)->resumed_ = &static_cast<http_port*>(context)->resumed_;
            *state = opened;
            return MHD_YES;
        }
        const exchange_ptr current = *static_cast<exchange_ptr*>(*state);
        if (*size > 0)
        {
            current->message.body.append(data, *size);
            *size = 0;
            return current->message.body.size() > max_body_bytes ? MHD_NO
                                                                 : MHD_YES;
        }
        if (!current->handled_)
        {
            current->handled_ = true;
            current->message.method = method;
            current->message.path = url;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &add_header,
                                      &current->message.headers);
            MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                      &add_argument, &current->message.query);
            try
            {
                static_cast<http_port*>(context)->handle_(current);
            }
            catch (const std::exception& error)
            {
                // For example, a field of the body has the wrong type.
                http::response refusal;
                refusal.status = 400;
                refusal.body = error.what();
                current->answer(std::move(refusal));
            }
        }
        if (current->outcome_ == exchange::outcome::open)
        {
            current->suspended_ = true;
            MHD_suspend_connection(connection);
            return MHD_YES;
        }
        return current->queue();
    }

    static void on_completed(void* /*context*/, MHD_Connection* /*connection*/,
                             void** state, MHD_RequestTerminationCode /*code*/)
    {
        delete static_cast<exchange_ptr*>(*state);
        *state = nullptr;
    }

    handler handle_;
    MHD_Daemon* daemon_ = nullptr;
    std::uint16_t port_ = 0;
    bool resumed_ = false;
};

// Tells the parent process that a port is being served.
inline void print_listening(std::uint16_t port)
{
    fmt::print("listening {}\n", port);
    std::fflush(stdout);
}

// Ends the program at once: libmicrohttpd cannot stop while requests wait for
// their answers.
[[noreturn]] inline void end_program()
{
    std::fflush(stdout);
    std::_Exit(0);
}

} // namespace coltsfootrack::standins

#endif
