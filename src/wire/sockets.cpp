// TCP sockets with numeric addresses.

#include "sockets.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <cerrno>
#include <fmt/core.h>
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace coltsfootrack::wire
{
namespace
{

constexpr int socket_flags = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;

// Exceeds the number of daemons of a deployment.
constexpr int listen_backlog = 128;

struct address_deleter
{
    void operator()(addrinfo* list) const
    {
        freeaddrinfo(list);
    }
};

using address_list = std::unique_ptr<addrinfo, address_deleter>;

address_list resolve(const std::string& address, std::uint16_t port)
{
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* list = nullptr;
    // An empty address would mean the wildcard address.
    if (address.empty() ||
        getaddrinfo(address.c_str(), std::to_string(port).c_str(), &hints,
                    &list) != 0)
    {
        return nullptr;
    }
    return address_list(list);
}

void set_option(const socket_handle& socket, int level, int name, int value)
{
    setsockopt(socket.descriptor(), level, name, &value, sizeof value);
}

} // namespace

bool is_numeric_address(const std::string& address)
{
    return resolve(address, 1) != nullptr;
}

absl::StatusOr<socket_handle> listen_on(const std::string& address,
                                        std::uint16_t port)
{
    const auto fail = [&](std::string_view reason)
    {
        return base::make_error(base::error_kind::invalid_settings,
                                fmt::format("cannot listen on {}, port {}: {}",
                                            address, port, reason));
    };
    const address_list list = resolve(address, port);
    if (list == nullptr)
    {
        return fail("the address is not numeric");
    }
    socket_handle socket(::socket(list->ai_family, socket_flags, 0));
    if (!socket.is_open())
    {
        return fail("cannot create a socket");
    }
    set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(socket.descriptor(), list->ai_addr, list->ai_addrlen) != 0)
    {
        return fail("the address is in use or not local");
    }
    if (listen(socket.descriptor(), listen_backlog) != 0)
    {
        return fail("listen failed");
    }
    return socket;
}

std::uint16_t local_port(const socket_handle& socket)
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&address),
                    &length) != 0)
    {
        return 0;
    }
    if (address.ss_family == AF_INET6)
    {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

socket_handle start_connect(const std::string& address, std::uint16_t port,
                            std::chrono::milliseconds timeout, int& error)
{
    error = EINVAL;
    const address_list list = resolve(address, port);
    if (list == nullptr)
    {
        return {};
    }
    socket_handle socket(::socket(list->ai_family, socket_flags, 0));
    if (!socket.is_open())
    {
        error = errno;
        return {};
    }
    // Messages are small and must not be delayed.
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(timeout.count()));
    if (connect(socket.descriptor(), list->ai_addr, list->ai_addrlen) != 0 &&
        errno != EINPROGRESS)
    {
        error = errno;
        return {};
    }
    error = 0;
    return socket;
}

int connect_error(const socket_handle& socket)
{
    int error = 0;
    socklen_t length = sizeof error;
    return getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error,
                      &length) == 0
               ? error
               : errno;
}

socket_handle accept_on(const socket_handle& listener)
{
    return socket_handle(accept4(listener.descriptor(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
}

} // namespace coltsfootrack::wire
