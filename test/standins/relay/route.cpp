// The connections of one relayed port.

#include "route.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fmt/core.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace coltsfootrack::standins
{
namespace
{

constexpr std::size_t max_held_bytes = std::size_t{1} << 20U;

sockaddr_in address_of(const std::string& host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

void set_no_delay(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

route::route(event_loop& loop, const std::string& address, std::uint16_t port,
             const std::string& target)
    : loop_(loop)
    , target_(target)
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
{
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = address_of(address, port);
    socklen_t size = sizeof where;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&where), size) != 0 ||
        ::listen(listener_, 256) != 0)
    {
        fmt::print(stderr, "cannot listen on {}:{}\n", address, port);
        std::_Exit(1);
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    loop_.watch(listener_, POLLIN, [this](short) { accept_all(); });
}

std::uint16_t route::port() const
{
    return port_;
}

void route::set(const nlohmann::json& settings)
{
    cut_ = settings.value("cut", cut_);
    delay_ms_ = settings.value("delay_ms", delay_ms_);
    const bool reset = settings.value("reset", false);
    const std::list<connection_ptr> all = connections_;
    for (const connection_ptr& relayed : all)
    {
        if (reset)
        {
            close(relayed, true);
            continue;
        }
        if (!cut_ && relayed->server < 0)
        {
            open_target(relayed);
        }
        flush(relayed, relayed->up);
        flush(relayed, relayed->down);
    }
}

nlohmann::json route::state() const
{
    return {{"port", port_},
            {"target", target_},
            {"cut", cut_},
            {"delay_ms", delay_ms_},
            {"connections", connections_.size()},
            {"carried_bytes", carried_bytes_}};
}

void route::accept_all()
{
    for (;;)
    {
        const int client =
            ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        if (client < 0)
        {
            return;
        }
        set_no_delay(client);
        auto relayed = std::make_shared<connection>();
        relayed->client = client;
        connections_.push_back(relayed);
        if (!cut_)
        {
            open_target(relayed);
        }
    }
}

void route::open_target(const connection_ptr& relayed)
{
    const std::size_t colon = target_.rfind(':');
    const sockaddr_in where =
        address_of(target_.substr(0, colon),
                   static_cast<std::uint16_t>(
                       std::strtol(target_.c_str() + colon + 1, nullptr, 10)));
    relayed->server = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    set_no_delay(relayed->server);
    relayed->up.from = relayed->client;
    relayed->up.to = relayed->server;
    relayed->down.from = relayed->server;
    relayed->down.to = relayed->client;
    if (::connect(relayed->server, reinterpret_cast<const sockaddr*>(&where),
                  sizeof where) != 0 &&
        errno != EINPROGRESS)
    {
        close(relayed, true);
        return;
    }
    watch_both(relayed);
}

void route::watch_both(const connection_ptr& relayed)
{
    if (relayed->closed || relayed->server < 0)
    {
        return;
    }
    watch_one(relayed, relayed->client, relayed->up, relayed->down);
    watch_one(relayed, relayed->server, relayed->down, relayed->up);
}

// Reads into one direction and writes from the other one. A descriptor without
// interest is not watched, because poll reports hang-ups in any case.
void route::watch_one(const connection_ptr& relayed, int descriptor, pipe& in,
                      pipe& out)
{
    short events = 0;
    if (!cut_ && !in.ended && in.held_bytes < max_held_bytes)
    {
        events |= POLLIN;
    }
    if (!cut_ && !out.chunks.empty() &&
        out.chunks.front().due <= event_loop::clock::now())
    {
        events |= POLLOUT;
    }
    if (events == 0)
    {
        loop_.unwatch(descriptor);
        return;
    }
    loop_.watch(descriptor, events,
                [this, relayed, &in, &out](short ready)
                {
                    if ((ready & POLLOUT) != 0)
                    {
                        flush(relayed, out);
                    }
                    if (!relayed->closed &&
                        (ready & (POLLIN | POLLHUP | POLLERR)) != 0)
                    {
                        read_from(relayed, in);
                    }
                });
}

void route::read_from(const connection_ptr& relayed, pipe& source)
{
    if (cut_ || source.ended)
    {
        watch_both(relayed);
        return;
    }
    std::vector<char> buffer(65536);
    const ssize_t size = ::recv(source.from, buffer.data(), buffer.size(), 0);
    if (size < 0)
    {
        if (errno != EAGAIN && errno != EINTR)
        {
            close(relayed, true);
        }
        return;
    }
    source.ended = size == 0;
    const auto due =
        event_loop::clock::now() + std::chrono::milliseconds(delay_ms_);
    source.chunks.push_back(
        {due, std::string(buffer.data(), static_cast<std::size_t>(size))});
    source.held_bytes += static_cast<std::size_t>(size);
    if (delay_ms_ > 0)
    {
        loop_.at(due, [this, relayed, &source] { flush(relayed, source); });
    }
    flush(relayed, source);
}

// Writes what is due. At the end of the stream the other side is told so.
void route::flush(const connection_ptr& relayed, pipe& source)
{
    while (!cut_ && !relayed->closed && !source.chunks.empty() &&
           source.chunks.front().due <= event_loop::clock::now())
    {
        chunk& next = source.chunks.front();
        if (next.bytes.empty())
        {
            ::shutdown(source.to, SHUT_WR);
            source.finished = true;
            source.chunks.pop_front();
            continue;
        }
        const ssize_t size = ::send(source.to, next.bytes.data(),
                                    next.bytes.size(), MSG_NOSIGNAL);
        if (size < 0)
        {
            if (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)
            {
                break;
            }
            close(relayed, true);
            return;
        }
        carried_bytes_ += static_cast<std::uint64_t>(size);
        source.held_bytes -= static_cast<std::size_t>(size);
        next.bytes.erase(0, static_cast<std::size_t>(size));
        if (next.bytes.empty())
        {
            source.chunks.pop_front();
        }
    }
    if (relayed->up.finished && relayed->down.finished)
    {
        close(relayed, false);
        return;
    }
    watch_both(relayed);
}

void route::close(const connection_ptr& relayed, bool reset)
{
    if (relayed->closed)
    {
        return;
    }
    relayed->closed = true;
    for (const int descriptor : {relayed->client, relayed->server})
    {
        if (descriptor < 0)
        {
            continue;
        }
        loop_.unwatch(descriptor);
        if (reset)
        {
            const linger abort{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort,
                         sizeof abort);
        }
        ::close(descriptor);
    }
    connections_.remove(relayed);
}

} // namespace coltsfootrack::standins
