#ifndef COLTSFOOTRACK_HTTP_ASYNC_CLIENT_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_ASYNC_CLIENT_HPP_INCLUDED

#include <coltsfootrack/http/call_options.hpp>
#include <coltsfootrack/http/client_options.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/client_traffic.hpp>
#include <coltsfootrack/http/request.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coltsfootrack::http
{

// Sends many HTTP/1.1 requests concurrently from one background thread.
//
//     async_client http(client_options{}, 4);
//     http.send("10.0.0.7:8080", {"POST", "/run", {}, {}, body},
//               std::chrono::seconds(1),
//               [](client_result result) { ... });
//
// As with client, each request is sent at most once. At most
// connections_per_address connections are open to one address; further calls
// to it are queued.
//
// A call that has not been sent within the connect timeout of the options, or
// its own timeout if that is shorter, fails as not sent. Its own timeout starts
// anew when the request is sent. An answer that has arrived is accepted even if
// the thread runs late.
//
// Thread safety: send may be called from any thread. Callbacks run on the
// client's thread and must return quickly.
class async_client
{
public:
    using callback = std::function<void(client_result)>;

    async_client(const client_options& options,
                 std::size_t connections_per_address);
    async_client(const async_client&) = delete;
    async_client& operator=(const async_client&) = delete;

    // Stops the thread. Unfinished calls are dropped without a callback.
    ~async_client();

    // Sends a request to a numeric address with a port.
    void send(const std::string& address, request message,
              const call_options& options, callback done);
    void send(const std::string& address, request message,
              std::chrono::milliseconds total_timeout, callback done);

    // The bytes of all calls that have ended, by the path of the request.
    std::map<std::string, client_traffic> traffic() const;

    // The number of calls that have not ended, queued ones included.
    std::size_t in_flight() const;

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace coltsfootrack::http

#endif
