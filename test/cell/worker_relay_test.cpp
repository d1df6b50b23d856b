// Guards against calls of a leader that get lost, are answered twice or wait
// too long on their way over a peer.

#include "worker_relay_world.hpp"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace coltsfootrack::cell
{
namespace
{

using fleet::order_outcome;
using std::chrono::milliseconds;

const base::daemon_id peer_a("a-1");

} // namespace

class worker_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_relay_test);
    CPPUNIT_TEST(call_peers_in_zone_goes_to_same_peer_there);
    CPPUNIT_TEST(call_350_workers_spread_over_five_peers);
    CPPUNIT_TEST(call_no_peer_is_made_directly);
    CPPUNIT_TEST(call_send_refused_is_made_directly_at_once);
    CPPUNIT_TEST(call_worker_beside_leader_uses_no_peer_elsewhere);
    CPPUNIT_TEST(call_no_peer_in_other_zone_uses_peer_elsewhere);
    CPPUNIT_TEST(call_stopping_peer_goes_elsewhere);
    CPPUNIT_TEST(renewal_direct_never_goes_to_peer);
    CPPUNIT_TEST(answer_given_twice_ends_call_once);
    CPPUNIT_TEST(answer_after_deadline_before_expiry_counts);
    CPPUNIT_TEST(answer_after_expiry_changes_nothing);
    CPPUNIT_TEST(answer_to_former_process_changes_nothing);
    CPPUNIT_TEST(answer_not_taken_makes_call_directly);
    CPPUNIT_TEST(answer_renewal_not_carried_out_looks_directly_at_once);
    CPPUNIT_TEST(answer_renewal_refused_by_worker_is_passed_on);
    CPPUNIT_TEST(answer_order_unknown_is_passed_on);
    CPPUNIT_TEST(answer_callback_makes_further_call);
    CPPUNIT_TEST(expire_order_only_after_its_limit);
    CPPUNIT_TEST(expire_repeated_start_refused_is_unknown);
    CPPUNIT_TEST(answer_start_not_taken_passes_refusal_on);
    CPPUNIT_TEST(expire_renewal_only_after_its_wait);
    CPPUNIT_TEST(expire_pauses_peer);
    CPPUNIT_TEST(link_lost_makes_only_its_calls_directly);
    CPPUNIT_TEST_SUITE_END();

public:
    // A worker whose calls change peers is called over several connections,
    // and an order could overtake an earlier one.
    void call_peers_in_zone_goes_to_same_peer_there()
    {
        worker_relay_world w;
        for (const char* number : {"1", "2", "3", "4", "5"})
        {
            w.link(std::string("a-") + number, "a");
            w.link(std::string("b-") + number, "b");
        }
        for (int i = 0; i < 50; ++i)
        {
            const auto worker =
                w.worker("w-" + std::to_string(i), i % 2 == 0 ? "a" : "b");
            w.sent.clear();
            w.renew(worker);
            w.stop(worker);
            w.renew(worker);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, w.sent.size());
            for (const auto& call : w.sent)
            {
                CPPUNIT_ASSERT_EQUAL(w.sent[0].peer.text(), call.peer.text());
                CPPUNIT_ASSERT_EQUAL(worker.zone.text(),
                                     call.peer.text().substr(0, 1));
                CPPUNIT_ASSERT(call.call.worker == worker.worker);
                CPPUNIT_ASSERT_EQUAL(worker.address, call.call.address);
            }
        }
        CPPUNIT_ASSERT(w.made.empty());
    }

    // Similar names must not give most workers to one peer, which would then
    // be as overloaded as the leader was.
    void call_350_workers_spread_over_five_peers()
    {
        worker_relay_world w;
        for (int i = 1; i <= 5; ++i)
        {
            w.link("front-donau-west-a-" + std::to_string(i), "a");
        }
        for (int i = 0; i < 350; ++i)
        {
            w.renew(w.worker("batch-donau-west-a-" + std::to_string(i), "a"));
        }
        std::map<base::daemon_id, int> calls;
        for (const auto& call : w.sent)
        {
            ++calls[call.peer];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, calls.size());
        const auto [least, most] = std::minmax_element(
            calls.begin(), calls.end(),
            [](const auto& x, const auto& y) { return x.second < y.second; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(least->second) + " to " +
                                   std::to_string(most->second),
                               most->second < 2 * least->second);
    }

    // A leader that is alone must still reach its workers.
    void call_no_peer_is_made_directly()
    {
        worker_relay_world w;
        w.renew(w.worker("w", "a"), milliseconds(300));
        w.stop(w.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, w.made.size());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
        w.made[0].finish(order_outcome::carried_out);
        w.made[1].finish(order_outcome::old_run);
        CPPUNIT_ASSERT(w.outcomes ==
                       std::vector<order_outcome>({order_outcome::carried_out,
                                                   order_outcome::old_run}));
    }

    // A call that was not sent must not wait for its deadline.
    void call_send_refused_is_made_directly_at_once()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.refusing.insert(peer_a);
        w.stop(w.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
        w.clock.advance(std::chrono::seconds(10));
        w.relay.expire();
        w.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
    }

    // A way to another zone and back is longer than the leader's own.
    void call_worker_beside_leader_uses_no_peer_elsewhere()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "l"));
        CPPUNIT_ASSERT(w.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
    }

    // Workers of a zone without a daemon must not all fall to the leader.
    void call_no_peer_in_other_zone_uses_peer_elsewhere()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.sent.size());
        CPPUNIT_ASSERT(w.made.empty());
    }

    // A peer that stops would leave its calls without an answer.
    void call_stopping_peer_goes_elsewhere()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        const auto far = w.worker("w", "a");
        w.stop(far);
        w.relay.on_stopping(peer_a, true);
        // The call that it has already is still answered by it.
        CPPUNIT_ASSERT(w.relay.has_pending_calls());
        w.stop(far);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
        w.link("a-2", "a");
        w.stop(far);
        CPPUNIT_ASSERT_EQUAL(std::string("a-2"), w.sent.back().peer.text());
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::carried_out));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.outcomes.size());
        w.relay.on_link_lost(base::daemon_id("a-2"));
        w.relay.on_stopping(peer_a, false);
        w.stop(far);
        CPPUNIT_ASSERT(w.sent.back().peer == peer_a);
    }

    // A silent peer must not make a worker count as lost.
    void renewal_direct_never_goes_to_peer()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.renew(w.worker("w", "a"), milliseconds(300), true);
        CPPUNIT_ASSERT(w.sent.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
        CPPUNIT_ASSERT(w.made[0].renewal.direct);
        CPPUNIT_ASSERT(w.made[0].renewal.wait == milliseconds(300));
    }

    // A start that ends twice would be counted or repeated twice.
    void answer_given_twice_ends_call_once()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::carried_out));
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::late));
        w.clock.advance(std::chrono::seconds(10));
        w.relay.expire();
        w.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT(w.outcomes == std::vector<order_outcome>(
                                         {order_outcome::carried_out}));
        CPPUNIT_ASSERT(w.made.empty());
    }

    // A leader that runs late must not give up a call whose answer it has; that
    // is how the incident of December 2026 went on.
    void answer_after_deadline_before_expiry_counts()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        w.clock.advance(std::chrono::seconds(10));
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::carried_out));
        w.relay.expire();
        CPPUNIT_ASSERT(w.made.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.outcomes.size());
        // The peer is not paused either.
        w.stop(w.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, w.sent.size());
    }

    // A call that is being made directly has its one outcome from there.
    void answer_after_expiry_changes_nothing()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        w.clock.advance(worker_relay::order_timeout);
        w.relay.expire();
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::late));
        CPPUNIT_ASSERT(w.outcomes.empty());
        w.made.at(0).finish(order_outcome::carried_out);
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::late));
        CPPUNIT_ASSERT(w.outcomes == std::vector<order_outcome>(
                                         {order_outcome::carried_out}));
    }

    // A daemon that was restarted under its name gets the answers to calls of
    // its former process, which must not end calls of the new one.
    void answer_to_former_process_changes_nothing()
    {
        worker_relay_world former;
        former.link("a-1", "a");
        former.stop(former.worker("v", "a"));
        worker_relay_world restarted;
        restarted.clock.advance(milliseconds(1));
        worker_relay relay(restarted.direct_port, base::zone_id("l"),
                           restarted.clock, restarted.counters,
                           [](const base::daemon_id&, const wire::worker_call&)
                           { return true; });
        relay.on_link(peer_a, base::zone_id("a"));
        bool ended = false;
        const auto worker = restarted.worker("w", "a");
        relay.port().stop(worker, 8, {worker.worker, {}, 1},
                          [&ended](order_outcome) { ended = true; });
        relay.on_answer(
            former.answer_to(former.sent.at(0), order_outcome::carried_out));
        CPPUNIT_ASSERT(!ended);
        CPPUNIT_ASSERT(relay.has_pending_calls());
    }

    // A full peer has not made the call.
    void answer_not_taken_makes_call_directly()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        wire::worker_answer answer;
        answer.nonce = w.sent[0].call.nonce;
        w.relay.on_answer(answer);
        CPPUNIT_ASSERT(w.outcomes.empty());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
        w.made.at(0).finish(order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.outcomes.size());
    }

    // A worker that only the peer does not reach must not count as silent, and
    // the leader must not wait a second time for ends.
    void answer_renewal_not_carried_out_looks_directly_at_once()
    {
        for (const order_outcome outcome :
             {order_outcome::unknown, order_outcome::unhealthy})
        {
            worker_relay_world w;
            w.link("a-1", "a");
            w.renew(w.worker("w", "a"), milliseconds(300));
            w.relay.on_answer(w.answer_to(w.sent.at(0), outcome));
            CPPUNIT_ASSERT(w.outcomes.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
            const lease_renewal& look = w.made[0].renewal;
            CPPUNIT_ASSERT(look.wait == milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, look.epoch);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, look.acknowledged);
            CPPUNIT_ASSERT(look.lease_end == milliseconds(9000));
            w.made[0].finish(order_outcome::unknown);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.outcomes.size());
        }
    }

    // What the worker itself has said needs no second call.
    void answer_renewal_refused_by_worker_is_passed_on()
    {
        for (const order_outcome outcome :
             {order_outcome::carried_out, order_outcome::fenced,
              order_outcome::other_worker, order_outcome::refused})
        {
            worker_relay_world w;
            w.link("a-1", "a");
            w.renew(w.worker("w", "a"));
            w.relay.on_answer(w.answer_to(w.sent.at(0), outcome));
            CPPUNIT_ASSERT(w.made.empty());
            CPPUNIT_ASSERT(w.outcomes == std::vector<order_outcome>({outcome}));
        }
    }

    // An order that the peer may have carried out is the leader's to clear up:
    // a repetition here would hide that it is unknown.
    void answer_order_unknown_is_passed_on()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        w.relay.on_answer(w.answer_to(w.sent[0], order_outcome::unknown));
        CPPUNIT_ASSERT(w.made.empty());
        CPPUNIT_ASSERT(w.outcomes ==
                       std::vector<order_outcome>({order_outcome::unknown}));
    }

    // A leader that renews again within a callback must not disturb the calls
    // that are being gone through.
    void answer_callback_makes_further_call()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        const auto worker = w.worker("w", "a");
        for (int i = 0; i < 3; ++i)
        {
            w.port.stop(worker, 7, {worker.worker, {}, 1},
                        [&w, worker](order_outcome) { w.stop(worker); });
        }
        w.relay.on_answer(w.answer_to(w.sent.at(0), order_outcome::late));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, w.sent.size());
        w.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, w.made.size());
        w.made.at(0).finish(order_outcome::late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, w.made.size());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
    }

    // A call that is given up early is made twice for nothing, one that is
    // never given up keeps its run uncertain.
    void expire_order_only_after_its_limit()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        w.clock.advance(worker_relay::order_timeout - milliseconds(1));
        w.relay.expire();
        CPPUNIT_ASSERT(w.made.empty());
        w.clock.advance(milliseconds(1));
        w.relay.expire();
        w.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
    }

    // Guards against a task that runs twice: the peer has passed the start on,
    // the run has ended, and the second start is refused for that, or the peer
    // passes it on later.
    void expire_repeated_start_refused_is_unknown()
    {
        for (const auto& [second, expected] :
             {std::pair(order_outcome::old_run, order_outcome::unknown),
              std::pair(order_outcome::late, order_outcome::unknown),
              std::pair(order_outcome::no_room, order_outcome::unknown),
              std::pair(order_outcome::bad_ticket, order_outcome::unknown),
              std::pair(order_outcome::unhealthy, order_outcome::unknown),
              std::pair(order_outcome::refused, order_outcome::unknown),
              std::pair(order_outcome::carried_out, order_outcome::carried_out),
              std::pair(order_outcome::fenced, order_outcome::fenced),
              std::pair(order_outcome::other_worker,
                        order_outcome::other_worker)})
        {
            worker_relay_world w;
            w.link("a-1", "a");
            w.start(w.worker("w", "a"));
            w.clock.advance(worker_relay::order_timeout);
            w.relay.expire();
            w.made.at(0).finish(second);
            CPPUNIT_ASSERT(w.outcomes.at(0) == expected);
        }
    }

    // Guards against a start that is looked for although no peer has made it.
    void answer_start_not_taken_passes_refusal_on()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.start(w.worker("w", "a"));
        wire::worker_answer answer;
        answer.nonce = w.sent.at(0).call.nonce;
        w.relay.on_answer(answer);
        w.made.at(0).finish(order_outcome::no_room);
        CPPUNIT_ASSERT(w.outcomes.at(0) == order_outcome::no_room);
    }

    // A renewal waits for ends at the worker, which is no silence of the peer.
    void expire_renewal_only_after_its_wait()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        const milliseconds wait(1000);
        w.renew(w.worker("w", "a"), wait);
        CPPUNIT_ASSERT(w.sent.at(0).call.wait == wait);
        w.clock.advance(wait + worker_relay::renewal_slack - milliseconds(1));
        w.relay.expire();
        CPPUNIT_ASSERT(w.made.empty());
        w.clock.advance(milliseconds(1));
        w.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
        CPPUNIT_ASSERT(w.made[0].renewal.wait == milliseconds(0));
    }

    // Without a pause each call of a stuck peer's workers would lose its whole
    // limit.
    void expire_pauses_peer()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        const auto worker = w.worker("w", "a");
        w.stop(worker);
        w.clock.advance(worker_relay::order_timeout);
        w.relay.expire();
        w.clock.advance(worker_relay::peer_back_off - milliseconds(1));
        w.stop(worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, w.made.size());
        w.clock.advance(milliseconds(1));
        w.stop(worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, w.sent.size());
    }

    // A lost daemon must not cost its workers' calls their whole limit, nor
    // those of other daemons anything.
    void link_lost_makes_only_its_calls_directly()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.link("b-1", "b");
        w.stop(w.worker("w", "a"));
        w.renew(w.worker("w", "a"), milliseconds(300));
        w.stop(w.worker("v", "b"));
        w.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, w.made.size());
        CPPUNIT_ASSERT(w.made[1].renewal.wait == milliseconds(0));
        CPPUNIT_ASSERT(w.relay.has_pending_calls());
        w.relay.on_answer(w.answer_to(w.sent.at(0), order_outcome::late));
        CPPUNIT_ASSERT(w.outcomes.empty());
        w.relay.on_answer(w.answer_to(w.sent.at(2), order_outcome::late));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.outcomes.size());
        CPPUNIT_ASSERT(!w.relay.has_pending_calls());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_test);

} // namespace coltsfootrack::cell
