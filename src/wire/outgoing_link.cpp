// The outgoing connection to one peer.

#include "outgoing_link.hpp"

#include "sockets.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace coltsfootrack::wire
{
namespace
{

constexpr std::string_view log_part = "wire";

// Frames are passed to the operating system once they are this long together.
constexpr std::size_t max_buffer_bytes = std::size_t(64) * 1024;

// The first frame of this size starts the compression of a connection, which
// takes memory; statuses alone are shorter. Very long frames are not
// compressed, so that none becomes longer than allowed.
constexpr std::size_t min_compressed = 256;
constexpr std::size_t max_compressed = max_frame_bytes / 2;

// A connection that lasted this long resets the back-off. A shorter one counts
// as a failure, so that a peer which accepts and closes is retried more slowly.
constexpr std::chrono::seconds min_stable_time{2};

} // namespace

outgoing_link::outgoing_link(peer_address address,
                             const peer_links_options& options,
                             base::time_point now)
    : address_(std::move(address))
    , options_(&options)
    , next_connect_(now)
    , state_since_(now)
    , last_progress_(now)
{
}

bool outgoing_link::enqueue(message_type type,
                            const std::shared_ptr<const std::string>& frame,
                            base::time_point now, peer_traffic& traffic)
{
    if (state_ != state::open)
    {
        return false;
    }
    while (queue_.size() >= options_->max_queued_messages ||
           queued_bytes_ + frame->size() > options_->max_queued_bytes)
    {
        if (!drop_heartbeat(traffic))
        {
            return false;
        }
    }
    if (!has_unsent())
    {
        last_progress_ = now;
    }
    queue_.push_back({type, frame});
    queued_bytes_ += frame->size();
    return true;
}

bool outgoing_link::drop_heartbeat(peer_traffic& traffic)
{
    const auto found =
        std::find_if(queue_.begin(), queue_.end(),
                     [](const queued_frame& entry)
                     { return entry.type == message_type::heartbeat; });
    if (found == queue_.end())
    {
        return false;
    }
    queued_bytes_ -= found->frame->size();
    queue_.erase(found);
    ++traffic.heartbeats_dropped;
    return true;
}

void outgoing_link::maintain(base::time_point now,
                             const base::random_source& random)
{
    if (state_ == state::waiting)
    {
        if (now < next_connect_)
        {
            return;
        }
        int error = 0;
        socket_ = start_connect(address_.address, address_.port,
                                options_->idle_timeout, error);
        state_ = state::connecting;
        state_since_ = now;
        if (!socket_.is_open())
        {
            note_answer(error, now);
            close(now, random);
        }
        return;
    }
    if (now >= deadline())
    {
        if (state_ == state::open)
        {
            base::log(base::log_level::info, log_part,
                      "Connection closed: the peer has taken nothing. peer={} "
                      "idle_ms={} queued_bytes={}",
                      address_.daemon.text(),
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - last_progress_)
                          .count(),
                      queued_bytes_ + buffer_.size() - buffer_sent_);
        }
        close(now, random);
    }
}

base::time_point outgoing_link::deadline() const
{
    switch (state_)
    {
    case state::waiting:
        return next_connect_;
    case state::connecting:
        return state_since_ + options_->connect_timeout;
    case state::open:
        break;
    }
    return has_unsent() ? last_progress_ + options_->idle_timeout
                        : base::time_point::max();
}

short outgoing_link::poll_events() const
{
    switch (state_)
    {
    case state::waiting:
        return 0;
    case state::connecting:
        return POLLOUT;
    case state::open:
        break;
    }
    return static_cast<short>(has_unsent() ? POLLIN | POLLOUT : POLLIN);
}

void outgoing_link::handle(
    short events, base::time_point now, const base::random_source& random,
    const std::shared_ptr<const std::string>& hello_frame,
    peer_traffic& traffic)
{
    if (events == 0 || state_ == state::waiting)
    {
        return;
    }
    if (state_ == state::connecting)
    {
        const int error = connect_error(socket_);
        note_answer(error, now);
        if (error != 0)
        {
            close(now, random);
            return;
        }
        state_ = state::open;
        state_since_ = now;
        last_progress_ = now;
        ++traffic.connects;
        queue_.push_back({message_type::hello, hello_frame});
        queued_bytes_ = hello_frame->size();
        events = POLLOUT;
    }
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
    {
        char byte = 0;
        const ssize_t count = recv(socket_.descriptor(), &byte, 1, 0);
        note_answer(count < 0 ? errno : 0, now);
        if (count > 0)
        {
            // The peer sends only on the connection that it opened. This also
            // closes a TCP self-connection, which can arise when the peer's
            // port is local and free.
            ++traffic.protocol_errors;
        }
        if (count >= 0 || (errno != EAGAIN && errno != EINTR))
        {
            close(now, random);
            return;
        }
    }
    if ((events & POLLOUT) != 0 && !write_queue(now, traffic))
    {
        close(now, random);
    }
}

// An established, refused or closed connection shows that the peer's VM can be
// reached; a timeout or an unreachable network does not.
void outgoing_link::note_answer(int error, base::time_point now)
{
    if (error == 0 || error == ECONNREFUSED || error == ECONNRESET)
    {
        answered_at_ = now;
    }
}

bool outgoing_link::has_unsent() const
{
    return buffer_sent_ < buffer_.size() || !queue_.empty();
}

std::string outgoing_link::encoded(const std::string& frame)
{
    const std::string_view body =
        std::string_view(frame).substr(frame_prefix_bytes);
    const bool starts = compressor_ == nullptr && body.size() >= min_compressed;
    if (!may_compress_ || body.size() > max_compressed ||
        (compressor_ == nullptr && !starts))
    {
        return frame;
    }
    if (starts)
    {
        compressor_ = std::make_unique<frame_compressor>();
    }
    return *encode_frame(compressor_->compress(body), true);
}

// Frames are compressed only now, since those in the queue may be dropped.
void outgoing_link::fill_buffer()
{
    buffer_.clear();
    buffer_sent_ = 0;
    while (!queue_.empty() && buffer_.size() < max_buffer_bytes)
    {
        const queued_frame next = std::move(queue_.front());
        queue_.pop_front();
        queued_bytes_ -= next.frame->size();
        const std::string frame = encoded(*next.frame);
        buffer_ += frame;
        buffered_.push_back({next.type, frame.size(), buffer_.size()});
    }
}

bool outgoing_link::write_queue(base::time_point now, peer_traffic& traffic)
{
    while (has_unsent())
    {
        if (buffer_sent_ == buffer_.size())
        {
            fill_buffer();
        }
        const ssize_t sent =
            ::send(socket_.descriptor(), buffer_.data() + buffer_sent_,
                   buffer_.size() - buffer_sent_, MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        last_progress_ = now;
        buffer_sent_ += static_cast<std::size_t>(sent);
        while (!buffered_.empty() && buffered_.front().end <= buffer_sent_)
        {
            auto& counts =
                traffic.sent[static_cast<std::size_t>(buffered_.front().type)];
            ++counts.messages;
            counts.bytes += buffered_.front().size;
            buffered_.pop_front();
        }
    }
    return true;
}

void outgoing_link::close(base::time_point now,
                          const base::random_source& random)
{
    if (state_ == state::open && now - state_since_ >= min_stable_time)
    {
        failures_ = 0;
    }
    socket_.reset();
    queue_.clear();
    queued_bytes_ = 0;
    buffer_.clear();
    buffered_.clear();
    buffer_sent_ = 0;
    compressor_.reset();
    state_ = state::waiting;
    // 2^16 times the first back-off exceeds any useful maximum.
    const std::uint32_t shift = std::min<std::uint32_t>(failures_, 16);
    const auto backoff =
        std::min(options_->min_backoff * (std::int64_t(1) << shift),
                 options_->max_backoff);
    const auto half =
        std::chrono::duration_cast<base::duration>(backoff).count() / 2;
    const std::uint64_t jitter =
        random() % (static_cast<std::uint64_t>(half) + 1);
    next_connect_ =
        now + base::duration(half + static_cast<std::int64_t>(jitter));
    ++failures_;
}

} // namespace coltsfootrack::wire
