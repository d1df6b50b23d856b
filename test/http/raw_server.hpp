#ifndef COLTSFOOTRACK_TEST_HTTP_RAW_SERVER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_HTTP_RAW_SERVER_HPP_INCLUDED

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <functional>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace coltsfootrack::http
{

// Accepts connections one after the other and runs a script on each, to send
// answers that an HTTP library would not send.
class raw_server
{
public:
    // The script gets the connection's socket and number, from 1. The
    // connection is closed when it returns.
    explicit raw_server(std::function<void(int, int)> script)
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) !=
                0 ||
            ::listen(listener_, 16) != 0)
        {
            throw std::runtime_error("cannot listen");
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread(
            [this, script = std::move(script)]
            {
                for (;;)
                {
                    const int connection =
                        ::accept(listener_, nullptr, nullptr);
                    if (connection < 0)
                    {
                        return;
                    }
                    script(connection, ++accepted_);
                    ::close(connection);
                }
            });
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    ~raw_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    const std::string& address() const
    {
        return address_;
    }

    int accepted() const
    {
        return accepted_;
    }

    // Reads and returns a request header; empty if the peer closed the
    // connection first.
    static std::string read_header(int connection)
    {
        std::string text;
        std::array<char, 1> byte{};
        while (text.find("\r\n\r\n") == std::string::npos)
        {
            if (::recv(connection, byte.data(), 1, 0) != 1)
            {
                return {};
            }
            text += byte[0];
        }
        return text;
    }

    static void write(int connection, const std::string& text)
    {
        ::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

    // Closing the connection will then reset it.
    static void reset_on_close(int connection)
    {
        const linger abort{1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }

private:
    int listener_;
    std::string address_;
    std::atomic<int> accepted_{0};
    std::thread thread_;
};

} // namespace coltsfootrack::http

#endif
