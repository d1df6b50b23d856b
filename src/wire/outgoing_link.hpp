#ifndef COLTSFOOTRACK_WIRE_OUTGOING_LINK_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_OUTGOING_LINK_HPP_INCLUDED

#include "frame_compression.hpp"
#include "socket_handle.hpp"

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/wire/message_type.hpp>
#include <coltsfootrack/wire/peer_address.hpp>
#include <coltsfootrack/wire/peer_links_options.hpp>
#include <coltsfootrack/wire/peer_traffic.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace coltsfootrack::wire
{

// The connection on which this daemon sends to one peer, with its output
// queue. Reconnects with jittered exponential back-off.
//
// Thread safety: none; peer_links guards it with its mutex, and only the thread
// of peer_links calls the functions that change the socket.
class outgoing_link
{
public:
    // The options must outlive the link.
    outgoing_link(peer_address address, const peer_links_options& options,
                  base::time_point now);

    const peer_address& address() const
    {
        return address_;
    }

    // Whether messages can be queued.
    bool is_open() const
    {
        return state_ == state::open;
    }

    // When the peer's VM last answered an attempt to connect, or closed a
    // connection; nullopt if it never did.
    std::optional<base::time_point> answered_at() const
    {
        return answered_at_;
    }

    // Adds a frame; false if the link is not open or the queue is full and
    // holds no heartbeat to drop. The frame may be shared with other links.
    bool enqueue(message_type type,
                 const std::shared_ptr<const std::string>& frame,
                 base::time_point now, peer_traffic& traffic);

    // Whether the peer can read compressed frames.
    void allow_compression(bool allowed)
    {
        may_compress_ = allowed;
    }

    // Connects if the back-off has passed, and closes a link that timed out.
    void maintain(base::time_point now, const base::random_source& random);

    // When maintain must be called next.
    base::time_point deadline() const;

    // The descriptor to poll, or -1, and the events to wait for.
    int descriptor() const
    {
        return socket_.descriptor();
    }

    short poll_events() const;

    // Handles the events returned by poll. On a new connection the hello frame
    // is sent first.
    void handle(short events, base::time_point now,
                const base::random_source& random,
                const std::shared_ptr<const std::string>& hello_frame,
                peer_traffic& traffic);

    // Closes the connection and schedules the next attempt to connect.
    void close(base::time_point now, const base::random_source& random);

private:
    enum class state
    {
        waiting,
        connecting,
        open
    };

    struct queued_frame
    {
        message_type type;
        std::shared_ptr<const std::string> frame;
    };

    // A frame in buffer_, to be counted once it is sent.
    struct buffered_frame
    {
        message_type type;
        std::size_t size;
        // Its end in buffer_.
        std::size_t end;
    };

    bool drop_heartbeat(peer_traffic& traffic);
    void note_answer(int error, base::time_point now);
    bool has_unsent() const;
    void fill_buffer();
    std::string encoded(const std::string& frame);
    bool write_queue(base::time_point now, peer_traffic& traffic);

    peer_address address_;
    const peer_links_options* options_;
    state state_ = state::waiting;
    socket_handle socket_;
    std::deque<queued_frame> queue_;
    std::size_t queued_bytes_ = 0;
    // Frames on their way to the operating system, as they are sent, and how
    // many of their bytes were.
    std::string buffer_;
    std::deque<buffered_frame> buffered_;
    std::size_t buffer_sent_ = 0;
    bool may_compress_ = false;
    // Set by the first frame that is worth it.
    std::unique_ptr<frame_compressor> compressor_;
    std::uint32_t failures_ = 0;
    std::optional<base::time_point> answered_at_;
    // When to connect next, in state::waiting.
    base::time_point next_connect_;
    // When the link began to connect or was connected.
    base::time_point state_since_;
    // When the queue was last empty or bytes from it were sent.
    base::time_point last_progress_;
};

} // namespace coltsfootrack::wire

#endif
