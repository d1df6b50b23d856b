#ifndef COLTSFOOTRACK_CELL_WORKER_RELAY_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_WORKER_RELAY_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/cell/worker_port.hpp>
#include <coltsfootrack/daemon/metrics.hpp>
#include <coltsfootrack/wire/worker_answer.hpp>
#include <coltsfootrack/wire/worker_call.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace coltsfootrack::cell
{

// Spreads the leader's calls to workers over the daemons of the cell, since a
// frame to a peer costs the leader a part of an HTTP call.
//
// Each worker has one peer that makes its calls, in its own availability zone
// where there is one. The leader makes a call itself if it has no peer for the
// worker, if the call is to be direct, or if the peer does not take or answer
// it. A worker takes a start of a run that is there, a stop, a pace and a
// renewal a second time without effect. What a second start is refused for says
// nothing of the first one, so its outcome is then unknown.
//
// Thread safety: belongs to the control thread. The callbacks of the port are
// called there or on a thread of the direct port.
class worker_relay
{
public:
    // Sends a message to a peer; false if there is no connection.
    using sender =
        std::function<bool(const base::daemon_id&, const wire::worker_call&)>;

    // What the peer and the way there may add to the time of an order, and to
    // the wait of a renewal: the time-out of the call itself, and a region
    // there and back.
    static constexpr std::chrono::milliseconds order_timeout{600};
    static constexpr std::chrono::milliseconds renewal_slack{800};

    // A peer that has left a call unanswered gets no new ones for this long.
    static constexpr std::chrono::milliseconds peer_back_off{2000};

    worker_relay(const worker_port& direct, base::zone_id zone,
                 const base::clock& clock, daemon::metrics& metrics,
                 sender send);

    worker_relay(const worker_relay&) = delete;
    worker_relay& operator=(const worker_relay&) = delete;

    // The port for the leader. It refers to this object.
    worker_port port();

    // The connection to a peer stands, or is gone. Calls that it has are then
    // made directly.
    void on_link(const base::daemon_id& peer, const base::zone_id& zone);
    void on_link_lost(const base::daemon_id& peer);

    // The peer is being stopped and gets no new calls, or is not.
    void on_stopping(const base::daemon_id& peer, bool stopping);

    void on_answer(const wire::worker_answer& answer);

    // Makes the calls directly that were not answered in time. To be called
    // when the answers that have arrived were handled, so that a daemon that
    // runs late does not take them for missing.
    void expire();

    // Whether a call waits for its answer.
    bool has_pending_calls() const
    {
        return !calls_.empty();
    }

private:
    using renewal_callback = std::function<void(renewal_result)>;

    // Makes a call without a peer. The argument says whether a peer may have
    // made it before, or may yet.
    using direct_call = std::function<void(bool repeated)>;

    struct peer_state
    {
        base::zone_id zone;
        bool stopping = false;
        base::time_point back_off_until;
    };

    struct pending_call
    {
        base::daemon_id peer;
        base::time_point deadline;
        // Makes the call directly; see direct_call.
        direct_call direct;
        // Takes the answer of the peer; false if it says too little.
        std::function<bool(const wire::worker_answer&)> answer;
    };

    std::optional<base::daemon_id>
    peer_for(const fleet::worker_listing& worker) const;
    void relay(const fleet::worker_listing& worker, wire::worker_call call,
               std::chrono::milliseconds limit, direct_call direct,
               std::function<bool(const wire::worker_answer&)> answer);
    void relay_order(const fleet::worker_listing& worker,
                     wire::worker_call call, direct_call direct,
                     worker_port::order_callback done);
    void call_directly(std::uint64_t nonce, bool repeated, const char* reason);

    const worker_port& direct_;
    base::zone_id zone_;
    const base::clock& clock_;
    daemon::metrics& metrics_;
    sender send_;
    std::map<base::daemon_id, peer_state> peers_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_nonce_;
};

// Makes the call that a leader asks for through the direct port, and gives the
// answer to `done`, on a thread of the port.
void make_relayed_call(const worker_port& direct, const wire::worker_call& call,
                       std::function<void(wire::worker_answer)> done);

} // namespace coltsfootrack::cell

#endif
