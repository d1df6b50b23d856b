// The implementation of peer_links: its thread and state.

#include "peer_links_impl.hpp"

#include "sockets.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/wire/codec.hpp>

#include <algorithm>
#include <cerrno>
#include <set>
#include <unistd.h>
#include <utility>

namespace coltsfootrack::wire
{
namespace
{

constexpr std::string_view log_part = "wire";

// Connections accepted per iteration, so that a flood of them does not keep the
// thread from serving its peers.
constexpr int max_accepts_per_iteration = 16;

// The delay after a failure of accept, for example without free descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{100};

// Poll returns at least this often, since the clock of a test need not advance
// with the system's time.
constexpr std::chrono::milliseconds max_poll_timeout{1000};

// The eventfd and the listener come first in polls_.
constexpr std::size_t fixed_polls = 2;

std::shared_ptr<const std::string> frame_of(const message& value)
{
    auto frame = encode_frame(encode(value));
    return frame.ok() ? std::make_shared<const std::string>(*std::move(frame))
                      : nullptr;
}

} // namespace

peer_links::impl::impl(peer_links_options options, const base::clock& clock,
                       base::random_source random, peer_events events,
                       socket_handle listener, socket_handle wake)
    : options_(std::move(options))
    , clock_(clock)
    , random_(std::move(random))
    , events_(std::move(events))
    , listener_(std::move(listener))
    , wake_(std::move(wake))
    , hello_frame_(frame_of(options_.self))
    , next_accept_(clock.now())
{
    thread_ = std::thread([this] { run(); });
}

peer_links::impl::~impl()
{
    stopping_ = true;
    wake_thread();
    thread_.join();
}

absl::Status peer_links::impl::set_peers(const std::vector<peer_address>& peers)
{
    std::set<base::daemon_id> ids;
    for (const peer_address& entry : peers)
    {
        if (entry.daemon.empty() || !ids.insert(entry.daemon).second ||
            entry.port == 0 || !is_numeric_address(entry.address))
        {
            return base::make_error(base::error_kind::invalid_settings,
                                    "invalid or repeated peer " +
                                        entry.daemon.text());
        }
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        new_peers_ = peers;
    }
    wake_thread();
    return absl::OkStatus();
}

bool peer_links::impl::send(const base::daemon_id& peer, const message& value)
{
    const auto frame = frame_of(value);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = peers_.find(peer);
        if (frame == nullptr || found == peers_.end() ||
            !found->second.out.enqueue(type_of(value), frame, clock_.now(),
                                       traffic_))
        {
            ++traffic_.refused;
            return false;
        }
    }
    wake_thread();
    return true;
}

std::size_t peer_links::impl::broadcast(const message& value)
{
    const auto frame = frame_of(value);
    std::size_t count = 0;
    if (frame == nullptr)
    {
        return count;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const base::time_point now = clock_.now();
        for (auto& [id, entry] : peers_)
        {
            if (!entry.out.is_open())
            {
                continue;
            }
            if (entry.out.enqueue(type_of(value), frame, now, traffic_))
            {
                ++count;
            }
            else
            {
                ++traffic_.refused;
            }
        }
    }
    wake_thread();
    return count;
}

std::vector<base::daemon_id> peer_links::impl::connected() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<base::daemon_id> ids;
    for (const auto& [id, entry] : peers_)
    {
        if (entry.reported_hello)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<base::daemon_id> peer_links::impl::reached(base::duration age) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const base::time_point now = clock_.now();
    std::vector<base::daemon_id> ids;
    for (const auto& [id, entry] : peers_)
    {
        const auto answered = entry.out.answered_at();
        if (entry.reported_hello || (answered && now - *answered <= age))
        {
            ids.push_back(id);
        }
    }
    return ids;
}

peer_traffic peer_links::impl::traffic() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return traffic_;
}

std::uint16_t peer_links::impl::port() const
{
    return local_port(listener_);
}

void peer_links::impl::wake_thread()
{
    if (!wake_pending_.exchange(true))
    {
        const std::uint64_t one = 1;
        // The write fails only if the counter is full, in which case the thread
        // wakes up anyway.
        [[maybe_unused]] const ssize_t written =
            write(wake_.descriptor(), &one, sizeof one);
    }
}

void peer_links::impl::run()
{
    while (!stopping_)
    {
        int timeout = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const base::time_point now = clock_.now();
            apply_peers(now);
            for (auto& [id, entry] : peers_)
            {
                entry.out.maintain(now, random_);
            }
            close_expired(now);
            report_connections();
            collect_polls();
            timeout = callbacks_.empty() ? poll_timeout(now) : 0;
        }
        if (poll(polls_.data(), polls_.size(), timeout) > 0)
        {
            if (polls_[0].revents != 0)
            {
                std::uint64_t count = 0;
                [[maybe_unused]] const ssize_t size =
                    read(wake_.descriptor(), &count, sizeof count);
                // Cleared after the read: a send before this line has already
                // queued its frame, and the queues are read below.
                wake_pending_ = false;
            }
            const std::lock_guard<std::mutex> lock(mutex_);
            handle_polls(clock_.now());
        }
        run_callbacks();
    }
}

void peer_links::impl::apply_peers(base::time_point now)
{
    if (!new_peers_)
    {
        return;
    }
    std::map<base::daemon_id, peer_address> wanted;
    for (const peer_address& entry : *new_peers_)
    {
        if (entry.daemon != options_.self.daemon)
        {
            wanted.emplace(entry.daemon, entry);
        }
    }
    new_peers_.reset();
    for (auto it = peers_.begin(); it != peers_.end();)
    {
        const auto found = wanted.find(it->first);
        if (found != wanted.end() && found->second == it->second.out.address())
        {
            wanted.erase(found);
            ++it;
            continue;
        }
        if (it->second.reported_hello && events_.on_down)
        {
            callbacks_.emplace_back([this, id = it->first]
                                    { events_.on_down(id); });
        }
        if (it->second.in != nullptr)
        {
            close_incoming(*it->second.in);
        }
        it = peers_.erase(it);
    }
    for (auto& [id, address] : wanted)
    {
        peers_.emplace(
            id, peer{outgoing_link(address, options_, now), nullptr, {}});
    }
}

int peer_links::impl::poll_timeout(base::time_point now) const
{
    base::time_point next = now + max_poll_timeout;
    for (const auto& [id, entry] : peers_)
    {
        next = std::min(next, entry.out.deadline());
    }
    for (const incoming_link& link : incoming_)
    {
        next = std::min(next, link.deadline());
    }
    if (next_accept_ > now)
    {
        next = std::min(next, next_accept_);
    }
    const auto span = std::chrono::ceil<std::chrono::milliseconds>(next - now);
    return static_cast<int>(std::max<std::int64_t>(span.count(), 0));
}

void peer_links::impl::collect_polls()
{
    polls_.clear();
    polled_peers_.clear();
    polled_incoming_.clear();
    const bool accepting = next_accept_ <= clock_.now();
    polls_.push_back({wake_.descriptor(), POLLIN, 0});
    polls_.push_back({accepting ? listener_.descriptor() : -1, POLLIN, 0});
    for (const auto& [id, entry] : peers_)
    {
        polls_.push_back({entry.out.descriptor(), entry.out.poll_events(), 0});
        polled_peers_.push_back(id);
    }
    for (incoming_link& link : incoming_)
    {
        polls_.push_back({link.descriptor(), POLLIN, 0});
        polled_incoming_.push_back(&link);
    }
}

void peer_links::impl::handle_polls(base::time_point now)
{
    for (std::size_t i = 0; i < polled_peers_.size(); ++i)
    {
        // Only this thread removes peers, and it has not since the poll.
        peers_.at(polled_peers_[i])
            .out.handle(polls_[fixed_polls + i].revents, now, random_,
                        hello_frame_, traffic_);
    }
    const std::size_t first = fixed_polls + polled_peers_.size();
    // A newer link of the same peer closes the older one during this loop;
    // close_incoming then sets its entry to nullptr.
    for (std::size_t i = 0; i < polled_incoming_.size(); ++i)
    {
        if (polls_[first + i].revents != 0 && polled_incoming_[i] != nullptr)
        {
            receive(*polled_incoming_[i], now);
        }
    }
    if (polls_[1].revents != 0)
    {
        accept_connections(now);
    }
}

void peer_links::impl::accept_connections(base::time_point now)
{
    for (int i = 0; i < max_accepts_per_iteration; ++i)
    {
        socket_handle socket = accept_on(listener_);
        if (!socket.is_open())
        {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
            {
                next_accept_ = now + accept_retry_delay;
            }
            return;
        }
        if (incoming_.size() < options_.max_incoming)
        {
            incoming_.emplace_back(std::move(socket), options_, now);
        }
    }
}

void peer_links::impl::receive(incoming_link& link, base::time_point now)
{
    std::vector<message> messages;
    const bool known = link.peer().has_value();
    const absl::Status status = link.receive(now, traffic_, messages);
    if (!known && link.peer() && !accept_hello(link))
    {
        ++traffic_.unknown_peers;
        close_incoming(link);
        return;
    }
    if (events_.on_message)
    {
        for (message& value : messages)
        {
            callbacks_.emplace_back(
                [this, id = link.peer()->daemon, value = std::move(value)]
                { events_.on_message(id, value); });
        }
    }
    if (!status.ok())
    {
        if (base::kind_of(status) == base::error_kind::peer_protocol)
        {
            ++traffic_.protocol_errors;
            base::log(
                base::log_level::warning, log_part,
                "Connection closed for a protocol violation. peer={} reason={}",
                link.peer() ? link.peer()->daemon.text() : "unknown",
                std::string(status.message()));
        }
        close_incoming(link);
    }
}

bool peer_links::impl::accept_hello(incoming_link& link)
{
    const hello& first = *link.peer();
    const auto found = peers_.find(first.daemon);
    if (found == peers_.end() || found->second.out.address().zone != first.zone)
    {
        base::log(base::log_level::debug, log_part,
                  "Unknown peer refused. peer={} zone={}", first.daemon.text(),
                  first.zone.text());
        return false;
    }
    // The newest connection replaces an older one, whose end may not have been
    // detected yet.
    if (found->second.in != nullptr)
    {
        close_incoming(*found->second.in);
    }
    found->second.in = &link;
    found->second.out.allow_compression(options_.compress &&
                                        first.accepts_compression);
    return true;
}

void peer_links::impl::close_incoming(incoming_link& link)
{
    for (auto& [id, entry] : peers_)
    {
        if (entry.in == &link)
        {
            entry.in = nullptr;
        }
    }
    traffic_.received_incomplete += link.incomplete_bytes();
    std::replace(polled_incoming_.begin(), polled_incoming_.end(), &link,
                 static_cast<incoming_link*>(nullptr));
    incoming_.remove_if([&](const incoming_link& other)
                        { return &other == &link; });
}

void peer_links::impl::close_expired(base::time_point now)
{
    for (auto it = incoming_.begin(); it != incoming_.end();)
    {
        incoming_link& link = *it++;
        if (link.deadline() <= now)
        {
            close_incoming(link);
        }
    }
}

void peer_links::impl::report_connections()
{
    for (auto& [id, entry] : peers_)
    {
        const bool up = entry.in != nullptr && entry.out.is_open();
        if (entry.reported_hello &&
            (!up || *entry.reported_hello != *entry.in->peer()))
        {
            entry.reported_hello.reset();
            if (events_.on_down)
            {
                callbacks_.emplace_back([this, id = id]
                                        { events_.on_down(id); });
            }
        }
        if (up && !entry.reported_hello)
        {
            entry.reported_hello = entry.in->peer();
            if (events_.on_up)
            {
                callbacks_.emplace_back([this, first = *entry.reported_hello]
                                        { events_.on_up(first); });
            }
        }
    }
}

void peer_links::impl::run_callbacks()
{
    const std::vector<callback> due = std::exchange(callbacks_, {});
    for (const callback& run : due)
    {
        if (stopping_)
        {
            return;
        }
        run();
    }
}

} // namespace coltsfootrack::wire
