#ifndef COLTSFOOTRACK_TEST_WIRE_RAW_SOCKET_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_WIRE_RAW_SOCKET_HPP_INCLUDED

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace coltsfootrack::wire
{

// A blocking TCP socket on loopback that sends and receives plain bytes, to act
// as a faulty or slow peer.
class raw_socket
{
public:
    raw_socket()
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }

    explicit raw_socket(int descriptor)
        : descriptor_(descriptor)
    {
    }

    ~raw_socket()
    {
        close(descriptor_);
    }

    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    bool connect_to(std::uint16_t port)
    {
        const sockaddr_in address = loopback(port);
        return connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                       sizeof address) == 0;
    }

    // Listens with a small receive buffer and returns the port, or 0 on
    // failure.
    std::uint16_t listen_on_loopback()
    {
        const int size = 4096;
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address), length) !=
                0 ||
            listen(descriptor_, 4) != 0 ||
            getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address),
                        &length) != 0)
        {
            return 0;
        }
        return ntohs(address.sin_port);
    }

    // Accepts the next connection and returns its descriptor.
    int accept_one() const
    {
        return accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    }

    bool send_all(const std::string& bytes) const
    {
        return send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    // Receives up to 64 KiB; empty at the end, on an error or after 5 s.
    std::string receive() const
    {
        const timeval limit{5, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::string bytes(65536, '\0');
        const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

private:
    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor_;
};

} // namespace coltsfootrack::wire

#endif
