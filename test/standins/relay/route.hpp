#ifndef COLTSFOOTRACK_TEST_STANDINS_RELAY_ROUTE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_RELAY_ROUTE_HPP_INCLUDED

#include "standins/support/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::standins
{

// Relays the connections of one port to a target, as a network between them
// would.
//
// Settings: "cut": bytes are held back in both directions, and new connections
// are accepted but not carried on, until it is false again; "delay_ms": each
// way takes so long; "reset": all connections are reset, once.
//
// Bytes under way are bounded by 1 MiB for each direction of a connection.
class route
{
public:
    // Port 0 lets the operating system choose. The program ends with status 1
    // if it cannot listen.
    route(event_loop& loop, const std::string& address, std::uint16_t port,
          const std::string& target);
    route(const route&) = delete;
    route& operator=(const route&) = delete;

    std::uint16_t port() const;

    void set(const nlohmann::json& settings);
    nlohmann::json state() const;

private:
    struct chunk
    {
        event_loop::clock::time_point due;
        // Empty at the end of the stream.
        std::string bytes;
    };

    // One direction of a connection.
    struct pipe
    {
        int from = -1;
        int to = -1;
        std::deque<chunk> chunks;
        std::size_t held_bytes = 0;
        bool ended = false;
        bool finished = false;
    };

    struct connection
    {
        int client = -1;
        int server = -1;
        pipe up;
        pipe down;
        bool closed = false;
    };

    using connection_ptr = std::shared_ptr<connection>;

    void accept_all();
    void open_target(const connection_ptr& relayed);
    void read_from(const connection_ptr& relayed, pipe& source);
    void flush(const connection_ptr& relayed, pipe& source);
    void watch_both(const connection_ptr& relayed);
    void watch_one(const connection_ptr& relayed, int descriptor, pipe& in,
                   pipe& out);
    void close(const connection_ptr& relayed, bool reset);

    event_loop& loop_;
    std::string target_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    bool cut_ = false;
    std::int64_t delay_ms_ = 0;
    std::uint64_t carried_bytes_ = 0;
    std::list<connection_ptr> connections_;
};

} // namespace coltsfootrack::standins

#endif
