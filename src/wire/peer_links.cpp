// The public interface of peer_links, which forwards to its implementation.

#include <coltsfootrack/wire/peer_links.hpp>

#include "peer_links_impl.hpp"
#include "sockets.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <sys/eventfd.h>
#include <utility>

namespace coltsfootrack::wire
{

absl::StatusOr<std::unique_ptr<peer_links>>
peer_links::start(peer_links_options options, const base::clock& clock,
                  base::random_source random, peer_events events)
{
    if (options.self.daemon.empty() || options.self.zone.empty())
    {
        return base::make_error(base::error_kind::invalid_settings,
                                "daemon and zone must not be empty");
    }
    auto listener = listen_on(options.listen_address, options.listen_port);
    if (!listener.ok())
    {
        return listener.status();
    }
    socket_handle wake(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!wake.is_open())
    {
        return base::make_error(base::error_kind::internal,
                                "cannot create an eventfd");
    }
    return std::unique_ptr<peer_links>(new peer_links(std::make_unique<impl>(
        std::move(options), clock, std::move(random), std::move(events),
        *std::move(listener), std::move(wake))));
}

peer_links::peer_links(std::unique_ptr<impl> impl)
    : impl_(std::move(impl))
{
}

peer_links::~peer_links() = default;

absl::Status peer_links::set_peers(const std::vector<peer_address>& peers)
{
    return impl_->set_peers(peers);
}

bool peer_links::send(const base::daemon_id& peer, const message& value)
{
    return impl_->send(peer, value);
}

std::size_t peer_links::broadcast(const message& value)
{
    return impl_->broadcast(value);
}

std::vector<base::daemon_id> peer_links::connected() const
{
    return impl_->connected();
}

std::vector<base::daemon_id> peer_links::reached(base::duration age) const
{
    return impl_->reached(age);
}

peer_traffic peer_links::traffic() const
{
    return impl_->traffic();
}

std::uint16_t peer_links::port() const
{
    return impl_->port();
}

} // namespace coltsfootrack::wire
