#ifndef COLTSFOOTRACK_TEST_CELL_WORKER_RELAY_HARNESS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_CELL_WORKER_RELAY_HARNESS_HPP_INCLUDED

#include <coltsfootrack/base/manual_clock.hpp>
#include <coltsfootrack/cell/worker_port.hpp>
#include <coltsfootrack/cell/worker_relay.hpp>
#include <coltsfootrack/daemon/metrics.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::cell
{

// The relay of a leader in zone "l". Records the calls that it sends to peers
// and those that it makes on the direct port.
class worker_relay_harness
{
public:
    // A call that the leader made through a peer.
    struct sent_call
    {
        base::daemon_id peer;
        wire::worker_call call;
    };

    // A call made on the direct port.
    struct direct_call
    {
        wire::worker_call_kind kind = wire::worker_call_kind::renew;
        fleet::worker_listing worker;
        std::uint64_t epoch = 0;
        lease_renewal renewal;
        fleet::start_order start;
        std::chrono::milliseconds lease_end{0};
        base::time_point send_by;
        fleet::stop_order stop;
        fleet::pace_order pace;
        std::function<void(renewal_result)> finish_renewal;
        worker_port::order_callback finish_order;
        worker_port::start_callback finish_start;

        // Answers the call; a renewal gets an empty report.
        void finish(fleet::order_outcome outcome) const
        {
            if (kind == wire::worker_call_kind::renew)
            {
                finish_renewal({outcome, {}});
                return;
            }
            if (kind == wire::worker_call_kind::start)
            {
                finish_start({outcome, std::nullopt});
                return;
            }
            finish_order(outcome);
        }
    };

    // How long a start or a renewal may be sent.
    static constexpr std::chrono::milliseconds send_limit{600};

    // The clock of each peer when it connects.
    static constexpr std::chrono::milliseconds peer_clock{50000};

    worker_relay_harness()
        : direct_port(recording_port())
        , relay(
              direct_port, base::zone_id("l"), clock, metrics,
              [this](const base::daemon_id& peer, const wire::worker_call& call)
              {
                  if (unreachable.count(peer) > 0)
                  {
                      return false;
                  }
                  sent_calls.push_back({peer, call});
                  return true;
              })
        , port(relay.port())
    {
    }

    static fleet::worker_listing worker(const std::string& name,
                                        const std::string& zone)
    {
        fleet::worker_listing listing;
        listing.worker = base::worker_id(name);
        listing.address = "10.0.0.1:" + std::to_string(1000 + name.size());
        listing.zone = base::zone_id(zone);
        return listing;
    }

    void link(const std::string& peer, const std::string& zone)
    {
        relay.on_link(base::daemon_id(peer), base::zone_id(zone));
        relay.on_clock(base::daemon_id(peer), peer_clock);
    }

    // Makes a renewal whose outcome is added to `outcomes`.
    void renew(const fleet::worker_listing& to,
               std::chrono::milliseconds wait = std::chrono::milliseconds(0),
               bool unresponsive = false)
    {
        lease_renewal renewal;
        renewal.epoch = 7;
        renewal.acknowledged = 3;
        renewal.lease_end = std::chrono::milliseconds(9000);
        renewal.wait = wait;
        renewal.unresponsive = unresponsive;
        renewal.send_by = clock.now() + send_limit;
        port.renew(to, renewal,
                   [this](const renewal_result& result)
                   {
                       outcomes.push_back(result.outcome);
                       confirmed.push_back(result.confirmed_unanswered);
                       no_daemon_near.push_back(result.no_daemon_near);
                   });
    }

    // Orders the start of a run; the outcome is added to `outcomes`.
    void start(const fleet::worker_listing& to)
    {
        fleet::start_order order;
        order.worker = to.worker;
        order.run = 1;
        port.start(to, 7, order, std::chrono::milliseconds(9000),
                   clock.now() + send_limit,
                   [this](const fleet::start_result& result)
                   { outcomes.push_back(result.outcome); });
    }

    // Orders the stop of a run; the outcome is added to `outcomes`.
    void stop(const fleet::worker_listing& to)
    {
        port.stop(to, 7, {to.worker, {}, 1},
                  [this](fleet::order_outcome outcome)
                  { outcomes.push_back(outcome); });
    }

    // The answer of a peer that accepted the call.
    static wire::worker_answer answer_to(const sent_call& call,
                                         fleet::order_outcome outcome)
    {
        wire::worker_answer answer;
        answer.nonce = call.call.nonce;
        answer.taken = true;
        answer.outcome = static_cast<std::uint8_t>(outcome);
        return answer;
    }

    base::manual_clock clock;
    daemon::metrics metrics;
    // Peers to which sending fails.
    std::set<base::daemon_id> unreachable;
    std::vector<sent_call> sent_calls;
    std::vector<direct_call> direct_calls;
    std::vector<fleet::order_outcome> outcomes;
    // Of each renewal, whether a near peer confirmed that it was unanswered.
    std::vector<bool> confirmed;
    // Of each renewal, whether no peer is near that could confirm it.
    std::vector<bool> no_daemon_near;
    worker_port direct_port;
    worker_relay relay;
    worker_port port;

private:
    worker_port recording_port()
    {
        worker_port recording;
        recording.renew = [this](const fleet::worker_listing& to,
                                 const lease_renewal& renewal,
                                 std::function<void(renewal_result)> done)
        {
            direct_call call;
            call.worker = to;
            call.epoch = renewal.epoch;
            call.renewal = renewal;
            call.finish_renewal = std::move(done);
            direct_calls.push_back(std::move(call));
        };
        recording.start = [this](const fleet::worker_listing& to,
                                 std::uint64_t epoch,
                                 const fleet::start_order& order,
                                 std::chrono::milliseconds lease_end,
                                 base::time_point send_by,
                                 const worker_port::start_callback& done)
        {
            direct_call call = order_call(wire::worker_call_kind::start, to,
                                          epoch, worker_port::order_callback());
            call.finish_start = done;
            call.start = order;
            call.lease_end = lease_end;
            call.send_by = send_by;
            direct_calls.push_back(std::move(call));
        };
        recording.stop = [this](const fleet::worker_listing& to,
                                std::uint64_t epoch,
                                const fleet::stop_order& order,
                                const worker_port::order_callback& done)
        {
            direct_call call =
                order_call(wire::worker_call_kind::stop, to, epoch, done);
            call.stop = order;
            direct_calls.push_back(std::move(call));
        };
        recording.pace = [this](const fleet::worker_listing& to,
                                std::uint64_t epoch,
                                const fleet::pace_order& order,
                                const worker_port::order_callback& done)
        {
            direct_call call =
                order_call(wire::worker_call_kind::pace, to, epoch, done);
            call.pace = order;
            direct_calls.push_back(std::move(call));
        };
        return recording;
    }

    static direct_call order_call(wire::worker_call_kind kind,
                                  const fleet::worker_listing& to,
                                  std::uint64_t epoch,
                                  const worker_port::order_callback& done)
    {
        direct_call call;
        call.kind = kind;
        call.worker = to;
        call.epoch = epoch;
        call.finish_order = done;
        return call;
    }
};

} // namespace coltsfootrack::cell

#endif
