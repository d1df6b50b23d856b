// Relays the leader's calls to workers through peers.

#include "worker_messages.hpp"

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/first_nonce.hpp>
#include <coltsfootrack/cell/peer_time.hpp>
#include <coltsfootrack/cell/worker_relay.hpp>

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "relay";

// The weight of a peer for a worker, the same in each daemon. The peer with the
// highest weight makes the calls (rendezvous hashing with FNV-1a).
std::uint64_t rank_of(const base::worker_id& worker,
                      const base::daemon_id& peer)
{
    constexpr std::uint64_t basis = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = basis;
    for (const std::string* text : {&worker.text(), &peer.text()})
    {
        for (const char c : *text)
        {
            hash = (hash ^ static_cast<unsigned char>(c)) * prime;
        }
    }
    // Without mixing, the last bytes alone would decide between similar names.
    constexpr unsigned half = 32;
    hash ^= hash >> half;
    hash *= prime;
    return hash ^ (hash >> half);
}

// How much faster or slower than the leader's the clock of a peer may run, and
// the granularity of the clocks in messages.
constexpr int max_clock_drift_percent = 2;
constexpr std::chrono::milliseconds clock_granularity{1};

// For orders that do no harm however late they are sent: the run number or the
// epoch tells the worker that they are old.
constexpr base::time_point no_send_limit = base::time_point::max();

// Whether the worker was not reached or did not answer.
bool is_unanswered(const renewal_result& result)
{
    return result.outcome == fleet::order_outcome::unknown ||
           result.outcome == fleet::order_outcome::unhealthy;
}

// A renewal that a peer and the leader make at the same time. Ends with the
// first answer of the worker, or when both have none.
//
// Thread safety: the functions may be called from any thread.
class joined_renewal
{
public:
    explicit joined_renewal(std::function<void(renewal_result)> done)
        : done_(std::move(done))
    {
    }

    // The peer has answered, with what the worker said or that it said nothing.
    void on_peer(const renewal_result& result)
    {
        on_result(peer_, result, is_unanswered(result));
    }

    // The peer has not answered, or did not take the call.
    void on_peer_silent()
    {
        on_result(peer_, renewal_result(), false);
    }

    void on_leader(const renewal_result& result)
    {
        on_result(leader_, result, false);
    }

private:
    void on_result(std::optional<renewal_result>& own,
                   const renewal_result& result, bool confirmed)
    {
        std::function<void(renewal_result)> done;
        renewal_result ended = result;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            own = result;
            confirmed_ = confirmed_ || confirmed;
            const bool answered = !is_unanswered(result) &&
                                  result.outcome != fleet::order_outcome::late;
            if (!answered && !(peer_ && leader_))
            {
                return;
            }
            if (!answered)
            {
                // Without an answer to the leader the way may be at fault.
                ended = *leader_;
                ended.confirmed_unanswered =
                    confirmed_ && is_unanswered(*leader_);
            }
            // Empty if it has ended before.
            done = std::exchange(done_, nullptr);
        }
        if (done)
        {
            done(std::move(ended));
        }
    }

    std::mutex mutex_;
    std::function<void(renewal_result)> done_;
    std::optional<renewal_result> peer_;
    std::optional<renewal_result> leader_;
    bool confirmed_ = false;
};

// For the repetition of a start that a peer may have made: if it is refused,
// the run of the first start may still exist, have ended, or start later.
worker_port::start_callback after_first_start(worker_port::start_callback done)
{
    return [done = std::move(done)](fleet::start_result result)
    {
        const bool certain =
            result.outcome == fleet::order_outcome::carried_out ||
            result.outcome == fleet::order_outcome::fenced ||
            result.outcome == fleet::order_outcome::other_worker;
        result.outcome =
            certain ? result.outcome : fleet::order_outcome::unknown;
        done(result);
    };
}

} // namespace

worker_relay::worker_relay(const worker_port& direct, base::zone_id zone,
                           const base::clock& clock, daemon::metrics& metrics,
                           sender send)
    : direct_(direct)
    , zone_(std::move(zone))
    , clock_(clock)
    , metrics_(metrics)
    , send_(std::move(send))
    , next_nonce_(first_nonce(clock))
{
}

worker_port worker_relay::port()
{
    worker_port made = direct_;
    made.renew = [this](const fleet::worker_listing& worker,
                        const lease_renewal& renewal,
                        const renewal_callback& done)
    {
        if (renewal.direct)
        {
            direct_.renew(worker, renewal, done);
            return;
        }
        const auto peer = peer_for(worker);
        const bool near = peer && peers_.at(*peer).zone == worker.zone;
        if (renewal.unresponsive && !near)
        {
            // A leader in the worker's zone is itself a daemon near it.
            direct_.renew(
                worker, renewal,
                [own = worker.zone == zone_, done](renewal_result result)
                {
                    result.confirmed_unanswered = own && is_unanswered(result);
                    result.no_daemon_near = !own && is_unanswered(result);
                    done(std::move(result));
                });
            return;
        }
        if (renewal.unresponsive)
        {
            renew_over_both(worker, renewal, done);
            return;
        }
        // The peer has waited for an end already, so the direct call does not.
        // Nor does it acknowledge ends: the worker may have restarted since the
        // leader read them.
        lease_renewal probe = renewal;
        probe.wait = std::chrono::milliseconds(0);
        probe.acknowledged = 0;
        const base::time_point asked_at = clock_.now();
        // A leader that was paused meanwhile sends nothing.
        const base::time_point latest =
            asked_at + renewal.wait + renewal_slack + order_timeout;
        const auto unanswered = std::make_shared<bool>(false);
        const auto before = acknowledgement_of(worker.worker);
        lease_renewal relayed = renewal;
        if (peer)
        {
            relayed = renewal_over(
                peer, worker, renewal,
                std::min(renewal.send_by, asked_at + order_timeout));
        }
        relay(
            worker, call_of(relayed), renewal.wait + renewal_slack,
            renewal.send_by,
            [this, worker, renewal, probe, asked_at, latest, unanswered, before,
             done](bool repeated)
            {
                lease_renewal retry = repeated ? probe : renewal;
                if (!repeated)
                {
                    // The peer has not made the call, and will not.
                    set_acknowledgement(worker.worker, before);
                }
                if (clock_.now() > asked_at + order_timeout)
                {
                    // The refusal of the peer took long.
                    retry.acknowledged = 0;
                }
                retry.send_by = std::min(latest, clock_.now() + order_timeout);
                retry =
                    renewal_over(std::nullopt, worker, retry, retry.send_by);
                direct_.renew(worker, retry,
                              [unanswered, done](renewal_result result)
                              {
                                  result.confirmed_unanswered =
                                      *unanswered && is_unanswered(result);
                                  done(std::move(result));
                              });
            },
            [near, unanswered, done](const wire::worker_answer& answer)
            {
                renewal_result result = renewal_of(answer);
                if (is_unanswered(result) ||
                    result.outcome == fleet::order_outcome::late)
                {
                    *unanswered = near && is_unanswered(result);
                    return false;
                }
                done(std::move(result));
                return true;
            });
    };
    made.start = [this](const fleet::worker_listing& worker,
                        std::uint64_t epoch, const fleet::start_order& order,
                        std::chrono::milliseconds lease_end,
                        base::time_point send_by,
                        const worker_port::start_callback& done)
    {
        if (!may_take(worker.worker, peer_for(worker)))
        {
            metrics_.count_event("worker_start_withheld");
            done({fleet::order_outcome::unhealthy, std::nullopt});
            return;
        }
        relay(
            worker, call_of(epoch, order, lease_end), order_timeout, send_by,
            [this, worker, epoch, order, lease_end, send_by,
             done](bool repeated)
            {
                if (repeated && is_awaited_ &&
                    !is_awaited_(worker.worker, order.task, order.run))
                {
                    metrics_.count_event("worker_start_not_repeated");
                    done({fleet::order_outcome::unknown, std::nullopt});
                    return;
                }
                if (!may_take(worker.worker, std::nullopt))
                {
                    metrics_.count_event("worker_start_withheld");
                    done({repeated ? fleet::order_outcome::unknown
                                   : fleet::order_outcome::unhealthy,
                          std::nullopt});
                    return;
                }
                direct_.start(worker, epoch, order, lease_end, send_by,
                              repeated ? after_first_start(done) : done);
            },
            [done](const wire::worker_answer& answer)
            {
                done(start_result_of(answer));
                return true;
            });
    };
    made.stop = [this](const fleet::worker_listing& worker, std::uint64_t epoch,
                       const fleet::stop_order& order,
                       const worker_port::order_callback& done)
    {
        relay_order(
            worker, call_of(epoch, order),
            [this, worker, epoch, order, done](bool /*repeated*/)
            { direct_.stop(worker, epoch, order, done); },
            done);
    };
    made.pace = [this](const fleet::worker_listing& worker, std::uint64_t epoch,
                       const fleet::pace_order& order,
                       const worker_port::order_callback& done)
    {
        relay_order(
            worker, call_of(epoch, order),
            [this, worker, epoch, order, done](bool /*repeated*/)
            { direct_.pace(worker, epoch, order, done); },
            done);
    };
    return made;
}

bool worker_relay::may_take(const base::worker_id& worker,
                            const call_path& path) const
{
    const auto last = acknowledgement_of(worker);
    return !last || last->path == path || last->arrives_by < clock_.now();
}

std::optional<worker_relay::sent_acknowledgement>
worker_relay::acknowledgement_of(const base::worker_id& worker) const
{
    const auto found = acknowledgements_.find(worker);
    return found == acknowledgements_.end() ? std::nullopt
                                            : std::optional(found->second);
}

void worker_relay::set_acknowledgement(
    const base::worker_id& worker,
    const std::optional<sent_acknowledgement>& value)
{
    acknowledgements_.erase(worker);
    if (value)
    {
        acknowledgements_.emplace(worker, *value);
    }
}

lease_renewal worker_relay::renewal_over(const call_path& path,
                                         const fleet::worker_listing& worker,
                                         const lease_renewal& renewal,
                                         base::time_point latest)
{
    lease_renewal made = renewal;
    if (!may_take(worker.worker, path))
    {
        made.acknowledged = 0;
    }
    if (made.acknowledged > 0)
    {
        set_acknowledgement(worker.worker,
                            sent_acknowledgement{path, latest + call_transit});
    }
    return made;
}

// Asks the worker directly and through its peer at the same time; the first
// answer counts.
void worker_relay::renew_over_both(const fleet::worker_listing& worker,
                                   const lease_renewal& renewal,
                                   const renewal_callback& done)
{
    const auto both = std::make_shared<joined_renewal>(done);
    relay(
        worker, call_of(renewal), renewal.wait + renewal_slack, renewal.send_by,
        [both](bool /*repeated*/) { both->on_peer_silent(); },
        [both](const wire::worker_answer& answer)
        {
            both->on_peer(renewal_of(answer));
            return true;
        });
    direct_.renew(worker, renewal,
                  [both](const renewal_result& result)
                  { both->on_leader(result); });
}

void worker_relay::relay_order(const fleet::worker_listing& worker,
                               wire::worker_call call, direct_call direct,
                               worker_port::order_callback done)
{
    relay(worker, std::move(call), order_timeout, no_send_limit,
          std::move(direct),
          [done = std::move(done)](const wire::worker_answer& answer)
          {
              done(outcome_of(answer));
              return true;
          });
}

void worker_relay::relay(const fleet::worker_listing& worker,
                         wire::worker_call call,
                         std::chrono::milliseconds limit,
                         base::time_point send_by, direct_call direct,
                         std::function<bool(const wire::worker_answer&)> answer)
{
    const auto peer = peer_for(worker);
    if (peer && send_by != no_send_limit)
    {
        // The leader makes the call itself after that time.
        call.send_by = on_clock_of(
            peers_.at(*peer), std::min(send_by, clock_.now() + order_timeout));
    }
    call.nonce = next_nonce_++;
    call.worker = worker.worker;
    call.address = worker.address;
    if (!peer || !send_(*peer, call))
    {
        metrics_.count_event("worker_call_direct");
        direct(false);
        return;
    }
    metrics_.count_event("worker_call_relayed");
    calls_[call.nonce] = {*peer, clock_.now() + limit, std::move(direct),
                          std::move(answer)};
}

std::optional<base::daemon_id>
worker_relay::peer_for(const fleet::worker_listing& worker) const
{
    const base::time_point now = clock_.now();
    const base::daemon_id* best = nullptr;
    bool best_near = false;
    std::uint64_t best_rank = 0;
    for (const auto& [id, peer] : peers_)
    {
        const bool near = peer.zone == worker.zone;
        if (peer.stopping || !peer.clock || now < peer.backoff_until ||
            (best_near && !near))
        {
            continue;
        }
        const std::uint64_t rank = rank_of(worker.worker, id);
        if (best == nullptr ||
            std::pair(near, rank) > std::pair(best_near, best_rank))
        {
            best = &id;
            best_near = near;
            best_rank = rank;
        }
    }
    // For a worker in the leader's zone a peer in another zone is no gain.
    if (best == nullptr || (!best_near && worker.zone == zone_))
    {
        return std::nullopt;
    }
    return *best;
}

void worker_relay::on_link(const base::daemon_id& peer,
                           const base::zone_id& zone)
{
    peers_[peer] = {zone, false, {}, std::nullopt, {}};
}

void worker_relay::on_clock(const base::daemon_id& peer,
                            std::optional<std::chrono::milliseconds> clock)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
    {
        return;
    }
    peer_state& state = found->second;
    const base::time_point now = clock_.now();
    // A status that arrives late, or is handled late, shows an old clock. The
    // one that was the quickest counts, less what the clocks may have drifted
    // apart since.
    if (clock && state.clock)
    {
        const auto passed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - state.clock_at);
        const auto expected =
            *state.clock + passed -
            std::chrono::duration_cast<std::chrono::milliseconds>(
                passed * max_clock_drift_percent / 100) -
            clock_granularity;
        state.clock = std::max(*clock, expected);
    }
    else
    {
        state.clock = clock;
    }
    state.clock_at = now;
}

// The time that its status took to arrive makes the result earlier than the
// given time, never later.
std::chrono::milliseconds worker_relay::on_clock_of(const peer_state& peer,
                                                    base::time_point time)
{
    return *peer.clock + std::chrono::duration_cast<std::chrono::milliseconds>(
                             time - peer.clock_at);
}

void worker_relay::on_link_lost(const base::daemon_id& peer)
{
    peers_.erase(peer);
    std::vector<std::uint64_t> lost;
    for (const auto& [nonce, call] : calls_)
    {
        if (call.peer == peer)
        {
            lost.push_back(nonce);
        }
    }
    for (const std::uint64_t nonce : lost)
    {
        call_directly(nonce, true, "worker_call_link_lost");
    }
    if (!lost.empty())
    {
        base::log(base::log_level::info, log_part,
                  "Peer disconnected; its pending calls are made directly. "
                  "peer={} calls={}",
                  peer.text(), lost.size());
    }
}

void worker_relay::on_stopping(const base::daemon_id& peer, bool stopping)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
    {
        found->second.stopping = stopping;
    }
}

void worker_relay::on_answer(const wire::worker_answer& answer)
{
    const auto found = calls_.find(answer.nonce);
    if (found == calls_.end())
    {
        // The call has already been made directly.
        return;
    }
    if (!answer.taken)
    {
        call_directly(answer.nonce, false, "worker_call_not_taken");
        return;
    }
    // Kept until the answer proves sufficient.
    if (found->second.answer(answer))
    {
        calls_.erase(answer.nonce);
        return;
    }
    call_directly(answer.nonce, true, "worker_call_peer_without_answer");
}

void worker_relay::expire()
{
    const base::time_point now = clock_.now();
    for (auto it = acknowledgements_.begin(); it != acknowledgements_.end();)
    {
        it = it->second.arrives_by < now ? acknowledgements_.erase(it)
                                         : std::next(it);
    }
    std::vector<std::uint64_t> late;
    for (const auto& [nonce, call] : calls_)
    {
        if (call.deadline <= now)
        {
            late.push_back(nonce);
        }
    }
    for (const std::uint64_t nonce : late)
    {
        const base::daemon_id peer = calls_.at(nonce).peer;
        const auto found = peers_.find(peer);
        if (found != peers_.end() && found->second.backoff_until <= now)
        {
            found->second.backoff_until = now + peer_backoff;
            base::log(base::log_level::warning, log_part,
                      "Peer did not answer a call. peer={} pause_ms={}",
                      peer.text(), peer_backoff.count());
        }
        call_directly(nonce, true, "worker_call_unanswered");
    }
}

void worker_relay::abandon()
{
    calls_.clear();
}

void worker_relay::call_directly(std::uint64_t nonce, bool repeated,
                                 const char* reason)
{
    const auto found = calls_.find(nonce);
    const direct_call direct = std::move(found->second.direct);
    calls_.erase(found);
    metrics_.count_event(reason);
    direct(repeated);
}

} // namespace coltsfootrack::cell
