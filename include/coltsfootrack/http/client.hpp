#ifndef COLTSFOOTRACK_HTTP_CLIENT_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_CLIENT_HPP_INCLUDED

#include <coltsfootrack/http/client_options.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/client_traffic.hpp>
#include <coltsfootrack/http/request.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace coltsfootrack::http
{

// A blocking HTTP/1.1 client that keeps connections alive between requests.
//
//     client http(client_options{});
//     const client_result result =
//         http.send("10.0.0.7:8080", {"POST", "/run", {}, {}, body});
//
// Each call sends its request at most once: it follows no redirect, uses no
// proxy, and never retries a request on another connection. It adds no headers
// except Host and Content-Length, so that control traffic stays small.
//
// Thread safety: all functions may be called from any thread at the same time;
// each call in flight has its own connection.
class client
{
public:
    explicit client(const client_options& options);
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // No call may be in flight.
    ~client();

    // Sends a request to a numeric address, "10.0.0.7:8080", and waits for the
    // answer or the total timeout of the options.
    client_result send(const std::string& address, const request& message);

    // As above, with the given total timeout.
    client_result send(const std::string& address, const request& message,
                       std::chrono::milliseconds total_timeout);

    // The bytes of all calls so far, headers included.
    client_traffic traffic() const;

private:
    class pool;

    client_options options_;
    std::unique_ptr<pool> pool_;
    std::atomic<std::uint64_t> sent_bytes_{0};
    std::atomic<std::uint64_t> received_bytes_{0};
};

} // namespace coltsfootrack::http

#endif
