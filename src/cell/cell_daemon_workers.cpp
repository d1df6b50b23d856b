// Calls to workers that this daemon makes for the leader.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>
#include <coltsfootrack/cell/peer_time.hpp>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "relay";

// The most calls in flight for the leader, which makes further ones itself. A
// cell of 350 workers and 31 daemons needs about 40.
constexpr std::size_t max_worker_calls = 512;

} // namespace

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::worker_call& m)
{
    if (worker_calls_ >= max_worker_calls)
    {
        metrics_.count_refusal(base::error_kind::overloaded);
        wire::worker_answer refused;
        refused.nonce = m.nonce;
        peers_.send(peer, refused);
        return;
    }
    if (m.send_by && from_peer_time(*m.send_by) < clock_.now())
    {
        // The leader has made the call itself or is about to.
        metrics_.count_event("worker_call_expired");
        wire::worker_answer expired;
        expired.nonce = m.nonce;
        peers_.send(peer, expired);
        return;
    }
    ++worker_calls_;
    make_relayed_call(ports_.workers, m,
                      [this, peer](const wire::worker_answer& answer)
                      {
                          --worker_calls_;
                          if (!peers_.send(peer, answer))
                          {
                              base::log(base::log_level::info, log_part,
                                        "Worker answer not sent to the peer. "
                                        "peer={} ended={}",
                                        peer.text(), answer.ended.size());
                          }
                      });
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::worker_answer& m)
{
    relay_.on_answer(m);
}

} // namespace coltsfootrack::cell
