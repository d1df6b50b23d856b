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
// The handler runs on the connection's thread, for several requests at once. It
// may block. An exception that leaves it is answered with internal.
//
// Limits: see server_options. A body over the limit is answered with
// body_too_large, a malformed request with status 400, both without a call of
// the handler.
//
// A graceful shutdown calls stop_accepting, then wait_idle, then stop.
//
// Thread safety: all functions may be called from any thread, except stop and
// the destructor, which must not be called by the handler.
class server
{
public:
    using handler = std::function<response(const request&)>;

    // Listens and serves; invalid_settings if the address cannot be used.
    static absl::StatusOr<std::unique_ptr<server>>
    start(const server_options& options, handler handle);

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Stops.
    ~server();

    // The port on which the server listens, also if the options said 0.
    std::uint16_t port() const;

    // Refuses new connections. Open ones are served further, and each is closed
    // after its next answer.
    void stop_accepting();

    // The number of requests of which the header has been received and the
    // answer has not yet been sent completely.
    std::size_t in_flight() const;

    // Waits until no request is in flight; false if the limit passed first.
    bool wait_idle(base::duration limit) const;

    // Closes all connections and waits for their threads. Has no effect the
    // second time.
    void stop();

private:
    class state;

    explicit server(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace coltsfootrack::http

#endif
