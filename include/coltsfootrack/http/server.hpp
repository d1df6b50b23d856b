#ifndef COLTSFOOTRACK_HTTP_SERVER_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_SERVER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/http/request.hpp>
#include <coltsfootrack/http/response.hpp>
#include <coltsfootrack/http/server_options.hpp>

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace coltsfootrack::http
{

// An HTTP/1.1 server with one thread per connection.
//
//     auto server = server::start(options, [](const request& r) {
//         return json_response(200, {{"path", r.path}});
//     });
//
// The handler runs on the connection's thread, concurrently for several
// requests. It may block. An exception that it throws is answered with
// internal.
//
// Limits: see server_options. A body over the limit is answered with
// body_too_large, a malformed request with status 400, both without calling the
// handler.
//
// A graceful shutdown calls stop_accepting, then wait_idle, then stop.
//
// Thread safety: all functions may be called from any thread, but stop and the
// destructor must not be called by the handler.
class server
{
public:
    using handler = std::function<response(const request&)>;

    // Starts a server; invalid_settings if it cannot listen on the address.
    static absl::StatusOr<std::unique_ptr<server>>
    start(const server_options& options, handler handle);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Calls stop.
    ~server();

    // The port on which the server listens, also if the options have 0.
    std::uint16_t port() const;

    // Refuses new connections. Open ones are still served, and each is closed
    // after its next answer.
    void stop_accepting();

    // The number of requests whose header has been received and whose answer
    // has not been sent completely.
    std::size_t in_flight() const;

    // Waits until no request is in flight; false if that takes longer than the
    // limit.
    bool wait_idle(base::duration limit) const;

    // Closes all connections and joins their threads. Has no effect the second
    // time.
    void stop();

private:
    class state;

    explicit server(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace coltsfootrack::http

#endif
