#include <coltsfootrack/cell/peer_port.hpp>
#include <coltsfootrack/wire/peer_links.hpp>

namespace coltsfootrack::cell
{

peer_port make_peer_port(wire::peer_links& links)
{
    peer_port port;
    port.set_peers = [&links](const std::vector<wire::peer_address>& peers)
    {
        return links.set_peers(peers);
    };
    port.send =
        [&links](const base::daemon_id& peer, const wire::message& value)
    {
        return links.send(peer, value);
    };
    port.broadcast = [&links](const wire::message& value)
    {
        return links.broadcast(value);
    };
    port.connected = [&links]
    {
        return links.connected();
    };
    port.reached = [&links](base::duration age)
    {
        return links.reached(age);
    };
    port.traffic = [&links]
    {
        return links.traffic();
    };
    return port;
}

} // namespace coltsfootrack::cell
