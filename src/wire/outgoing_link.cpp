// The outgoing connection to one peer.

#include "outgoing_link.hpp"

#include "sockets.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace coltsfootrack::wire
{
namespace
{

// Frames passed to the operating system in one call.
constexpr std::size_t max_batch_frames = 64;

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
    if (queue_.empty())
    {
        last_progress_ = now;
    }
    queue_.push_back({type, frame});
    queued_bytes_ += frame->size();
    return true;
}

bool outgoing_link::drop_heartbeat(peer_traffic& traffic)
{
    // The first frame may be partly sent, so it must stay.
    const auto first = queue_.begin() + (front_bytes_sent_ > 0 ? 1 : 0);
    const auto found =
        std::find_if(first, queue_.end(),
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
        socket_ = start_connect(address_.address, address_.port,
                                options_->idle_timeout);
        state_ = state::connecting;
        state_since_ = now;
        if (!socket_.is_open())
        {
            close(now, random);
        }
        return;
    }
    if (now >= deadline())
    {
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
    return queue_.empty() ? base::time_point::max()
                          : last_progress_ + options_->idle_timeout;
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
    return static_cast<short>(queue_.empty() ? POLLIN : POLLIN | POLLOUT);
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
        if (!connect_succeeded(socket_))
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

bool outgoing_link::write_queue(base::time_point now, peer_traffic& traffic)
{
    while (!queue_.empty())
    {
        std::array<iovec, max_batch_frames> parts{};
        std::size_t count = 0;
        for (const queued_frame& entry : queue_)
        {
            if (count == max_batch_frames)
            {
                break;
            }
            const std::size_t skip = count == 0 ? front_bytes_sent_ : 0;
            // sendmsg does not write to the buffers.
            parts[count].iov_base =
                const_cast<char*>(entry.frame->data()) + skip;
            parts[count].iov_len = entry.frame->size() - skip;
            ++count;
        }
        msghdr header{};
        header.msg_iov = parts.data();
        header.msg_iovlen = count;
        const ssize_t sent =
            sendmsg(socket_.descriptor(), &header, MSG_NOSIGNAL);
        if (sent < 0)
        {
            return errno == EAGAIN || errno == EINTR;
        }
        last_progress_ = now;
        front_bytes_sent_ += static_cast<std::size_t>(sent);
        while (!queue_.empty() &&
               front_bytes_sent_ >= queue_.front().frame->size())
        {
            const queued_frame& done = queue_.front();
            const std::size_t size = done.frame->size();
            auto& counts = traffic.sent[static_cast<std::size_t>(done.type)];
            ++counts.messages;
            counts.bytes += size;
            front_bytes_sent_ -= size;
            queued_bytes_ -= size;
            queue_.pop_front();
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
    front_bytes_sent_ = 0;
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
