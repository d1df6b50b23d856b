#ifndef COLTSFOOTRACK_WIRE_PEER_LINKS_IMPL_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_PEER_LINKS_IMPL_HPP_INCLUDED

#include "incoming_link.hpp"
#include "outgoing_link.hpp"
#include "socket_handle.hpp"

#include <coltsfootrack/wire/peer_links.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <poll.h>
#include <thread>
#include <vector>

namespace coltsfootrack::wire
{

// The implementation of peer_links: its thread and state.
//
// The mutex guards the peers, their queues and the counters. Only the thread
// opens, reads, writes and closes sockets. Callbacks are queued under the mutex
// and run without it.
class peer_links::impl
{
public:
    impl(peer_links_options options, const base::clock& clock,
         base::random_source random, peer_events events, socket_handle listener,
         socket_handle wake);
    ~impl();

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    absl::Status set_peers(const std::vector<peer_address>& peers);
    bool send(const base::daemon_id& peer, const message& value);
    std::size_t broadcast(const message& value);
    std::vector<base::daemon_id> connected() const;
    std::vector<base::daemon_id> reached(base::duration age) const;
    peer_traffic traffic() const;
    std::uint16_t port() const;

private:
    // One configured peer.
    struct peer
    {
        outgoing_link out;
        // The connection from the peer, in incoming_.
        incoming_link* in = nullptr;
        // The hello reported by on_up, until on_down is reported.
        std::optional<hello> reported_hello;
    };

    using callback = std::function<void()>;

    void run();
    void wake_thread();
    void apply_peers(base::time_point now);
    int poll_timeout(base::time_point now) const;
    void collect_polls();
    void handle_polls(base::time_point now);
    void accept_connections(base::time_point now);
    void receive(incoming_link& link, base::time_point now);
    bool accept_hello(incoming_link& link);
    void close_incoming(incoming_link& link);
    void close_expired(base::time_point now);
    void report_connections();
    void run_callbacks();
    peer* find_peer(const base::daemon_id& id);

    peer_links_options options_;
    const base::clock& clock_;
    base::random_source random_;
    peer_events events_;
    socket_handle listener_;
    // An eventfd that interrupts poll.
    socket_handle wake_;
    std::shared_ptr<const std::string> hello_frame_;

    mutable std::mutex mutex_;
    std::map<base::daemon_id, peer> peers_;
    // The argument of the last set_peers, until the thread has applied it.
    std::optional<std::vector<peer_address>> new_peers_;
    peer_traffic traffic_;

    // Used by the thread only.
    std::list<incoming_link> incoming_;
    std::vector<pollfd> polls_;
    std::vector<base::daemon_id> polled_peers_;
    std::vector<incoming_link*> polled_incoming_;
    std::vector<callback> callbacks_;
    // No connection is accepted before this time; set when accept fails.
    base::time_point next_accept_;

    std::atomic<bool> stopping_{false};
    // Whether a wake-up is pending, so that many sends write the eventfd once.
    std::atomic<bool> wake_pending_{false};
    std::thread thread_;
};

} // namespace coltsfootrack::wire

#endif
