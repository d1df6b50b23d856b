// A TCP relay with injected faults.

#include "tcp_relay.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace coltsfootrack::local_cluster
{
namespace
{

constexpr std::chrono::milliseconds cut_poll_interval{10};
constexpr int poll_ms = 20;

// Forwards the data that can be read; false at the end of the connection.
bool forward(int from, int target)
{
    std::array<char, 16384> buffer{};
    const ssize_t size = ::recv(from, buffer.data(), buffer.size(), 0);
    ssize_t sent = 0;
    while (sent < size)
    {
        const ssize_t part =
            ::send(target, buffer.data() + sent,
                   static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
        if (part <= 0)
        {
            return false;
        }
        sent += part;
    }
    return size > 0;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

tcp_relay::tcp_relay(std::string target)
    : target_(std::move(target))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    auto* socket_address = reinterpret_cast<sockaddr*>(&address);
    if (::bind(listener_, socket_address, size) != 0 ||
        ::listen(listener_, 64) != 0 ||
        ::getsockname(listener_, socket_address, &size) != 0)
    {
        throw std::runtime_error("the relay cannot listen on loopback");
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay()
{
    stopping_ = true;
    thread_.join();
    ::close(listener_);
}

std::string tcp_relay::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

int tcp_relay::connect_target() const
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto colon = target_.find(':');
    const auto port = static_cast<std::uint16_t>(
        std::strtoul(target_.c_str() + colon + 1, nullptr, 10));
    sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0)
    {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

void tcp_relay::run()
{
    // The peer socket of each socket, and the sockets that were accepted.
    std::map<int, int> peer_of;
    std::set<int> accepted_sockets;
    const auto held = [&](int from)
    {
        const bool to_target = accepted_sockets.count(from) != 0;
        return cut_direction_ ==
               (to_target ? direction::to_target : direction::from_target);
    };
    while (!stopping_)
    {
        if (reset_.exchange(false))
        {
            for (const auto& [from, target] : peer_of)
            {
                const linger now{1, 0};
                ::setsockopt(from, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::close(from);
            }
            peer_of.clear();
            accepted_sockets.clear();
        }
        if (cut_)
        {
            std::this_thread::sleep_for(cut_poll_interval);
            continue;
        }
        std::vector<pollfd> waiting = {{listener_, POLLIN, 0}};
        for (const auto& [from, target] : peer_of)
        {
            if (!held(from))
            {
                waiting.push_back({from, POLLIN, 0});
            }
        }
        if (::poll(waiting.data(), waiting.size(), poll_ms) <= 0 || cut_)
        {
            continue;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
        for (std::size_t i = 1; i < waiting.size(); ++i)
        {
            const int from = waiting[i].fd;
            const auto found = peer_of.find(from);
            if (waiting[i].revents == 0 || found == peer_of.end() ||
                forward(from, found->second))
            {
                continue;
            }
            const int other = found->second;
            peer_of.erase(from);
            peer_of.erase(other);
            accepted_sockets.erase(from);
            accepted_sockets.erase(other);
            ::close(from);
            ::close(other);
        }
        if (waiting[0].revents != 0)
        {
            const int accepted =
                ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            const int target = connect_target();
            if (accepted >= 0 && target >= 0)
            {
                peer_of[accepted] = target;
                peer_of[target] = accepted;
                accepted_sockets.insert(accepted);
                continue;
            }
            ::close(accepted);
            ::close(target);
        }
    }
    for (const auto& [from, target] : peer_of)
    {
        ::close(from);
    }
}

} // namespace coltsfootrack::local_cluster
