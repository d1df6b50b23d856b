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
// frame to a peer costs the leader only a fraction of an HTTP call.
//
// One peer makes all calls to a worker, if possible one in the worker's
// availability zone. The leader makes a call itself if it has no peer for the
// worker, if the worker is unresponsive and no peer is in its zone, or if the
// peer does not take or answer it. Repeated stops, paces and renewals, and a
// repeated start of a run that the worker has, have no further effect. If a
// repeated start is refused, that says nothing about the first one, so the
// outcome is unknown.
//
// A start or renewal that is held up on its way to a peer must not reach the
// worker after the leader has made it directly: the worker may have restarted
// since and would not refuse it. So the call tells the peer until when, on the
// peer's own clock, it may be sent. A peer whose clock is not known gets none.
//
// Nor must an acknowledgement of ends reach a worker after a start that was
// made later: if the worker has restarted in between, the start has an end in
// the new life, which numbers its ends like the former one. Calls that take the
// same way to a worker keep their order. So a start takes no other way than the
// last acknowledgement until that must have arrived, and is refused instead.
//
// Thread safety: belongs to the control thread. The callbacks of the port run
// there or on a thread of the direct port.
class worker_relay
{
public:
    // Sends a message to a peer; false if there is no connection.
    using sender =
        std::function<bool(const base::daemon_id&, const wire::worker_call&)>;

    // The timeout of a relayed order, and what a relayed renewal may take
    // beyond its wait: the timeout of the call itself plus a round trip between
    // regions.
    static constexpr std::chrono::milliseconds order_timeout{600};
    static constexpr std::chrono::milliseconds renewal_slack{800};

    // The longest time from the moment when a call may be sent at the latest
    // until it reaches the worker.
    static constexpr std::chrono::milliseconds call_transit{200};

    // A peer that has left a call unanswered gets no new ones for this long.
    static constexpr std::chrono::milliseconds peer_backoff{2000};

    worker_relay(const worker_port& direct, base::zone_id zone,
                 const base::clock& clock, daemon::metrics& metrics,
                 sender send);

    worker_relay(const worker_relay&) = delete;
    worker_relay& operator=(const worker_relay&) = delete;

    // Asked before a start is made a second time: whether the leader still
    // waits for its outcome. A worker that has restarted would run a task again
    // whose end the leader knows.
    using start_filter = std::function<bool(
        const base::worker_id&, const jobs::task_key&, std::uint64_t run)>;
    void set_start_filter(start_filter is_awaited)
    {
        is_awaited_ = std::move(is_awaited);
    }

    // The port for the leader, which refers to this object.
    worker_port port();

    // The connection to a peer is up, or is lost; the pending calls of a lost
    // peer are made directly.
    void on_link(const base::daemon_id& peer, const base::zone_id& zone);
    void on_link_lost(const base::daemon_id& peer);

    // Whether a peer is being stopped; it then gets no new calls.
    void on_stopping(const base::daemon_id& peer, bool stopping);

    // The clock of a peer as its last status gives it, see to_peer_time.
    void on_clock(const base::daemon_id& peer,
                  std::optional<std::chrono::milliseconds> clock);

    void on_answer(const wire::worker_answer& answer);

    // Makes the calls directly that were not answered in time. To be called
    // after the answers that have arrived are handled, so that a daemon that
    // runs late does not count them as missing.
    void expire();

    // Drops the calls that await their answers, without calling their
    // callbacks: this daemon no longer leads. Made directly they could reach a
    // worker that has restarted and knows no later leader.
    void abandon();

    // Whether a call awaits its answer.
    bool has_pending_calls() const
    {
        return !calls_.empty();
    }

private:
    using renewal_callback = std::function<void(renewal_result)>;

    // Makes a call without a peer. The argument tells whether a peer may have
    // made it before, or may still make it.
    using direct_call = std::function<void(bool repeated)>;

    struct peer_state
    {
        base::zone_id zone;
        bool stopping = false;
        base::time_point backoff_until;
        // Its clock, and when this daemon learned of it.
        std::optional<std::chrono::milliseconds> clock;
        base::time_point clock_at;
    };

    struct pending_call
    {
        base::daemon_id peer;
        base::time_point deadline;
        // Makes the call directly; see direct_call.
        direct_call direct;
        // Handles the answer of the peer; false if the peer got no answer from
        // the worker.
        std::function<bool(const wire::worker_answer&)> answer;
    };

    // The way of a call to a worker: over a peer, or from here.
    using call_path = std::optional<base::daemon_id>;

    // The last acknowledgement of ends that a worker was sent.
    struct sent_acknowledgement
    {
        call_path path;
        base::time_point arrives_by;
    };

    std::optional<sent_acknowledgement>
    acknowledgement_of(const base::worker_id& worker) const;
    void set_acknowledgement(const base::worker_id& worker,
                             const std::optional<sent_acknowledgement>& value);

    // Whether no acknowledgement can still be on another way to the worker.
    bool may_take(const base::worker_id& worker, const call_path& path) const;

    // The renewal for this way, without its acknowledgement if that must not
    // take it, and notes the one that it has. `latest` is when it is sent at
    // the latest.
    lease_renewal renewal_over(const call_path& path,
                               const fleet::worker_listing& worker,
                               const lease_renewal& renewal,
                               base::time_point latest);

    static std::chrono::milliseconds on_clock_of(const peer_state& peer,
                                                 base::time_point time);
    std::optional<base::daemon_id>
    peer_for(const fleet::worker_listing& worker) const;
    void relay(const fleet::worker_listing& worker, wire::worker_call call,
               std::chrono::milliseconds limit, base::time_point send_by,
               direct_call direct,
               std::function<bool(const wire::worker_answer&)> answer);
    void renew_over_both(const fleet::worker_listing& worker,
                         const lease_renewal& renewal,
                         const renewal_callback& done);
    void relay_order(const fleet::worker_listing& worker,
                     wire::worker_call call, direct_call direct,
                     worker_port::order_callback done);
    void call_directly(std::uint64_t nonce, bool repeated, const char* reason);

    const worker_port& direct_;
    base::zone_id zone_;
    const base::clock& clock_;
    daemon::metrics& metrics_;
    sender send_;
    start_filter is_awaited_;
    std::map<base::daemon_id, peer_state> peers_;
    std::map<std::uint64_t, pending_call> calls_;
    std::map<base::worker_id, sent_acknowledgement> acknowledgements_;
    std::uint64_t next_nonce_;
};

// Makes a call for a leader through the direct port, and passes the answer to
// `done`, on a thread of the port.
void make_relayed_call(const worker_port& direct, const wire::worker_call& call,
                       std::function<void(wire::worker_answer)> done);

} // namespace coltsfootrack::cell

#endif
