// Guards against a leader's calls over a peer that get lost, are answered twice
// or take too long.

#include "worker_relay_harness.hpp"

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
    CPPUNIT_TEST(call_peers_in_zone_always_uses_same_peer);
    CPPUNIT_TEST(call_350_workers_spread_over_five_peers);
    CPPUNIT_TEST(call_no_peer_is_made_directly);
    CPPUNIT_TEST(call_send_refused_is_made_directly_at_once);
    CPPUNIT_TEST(call_worker_in_zone_of_leader_uses_no_peer_elsewhere);
    CPPUNIT_TEST(call_no_peer_in_other_zone_uses_peer_elsewhere);
    CPPUNIT_TEST(call_stopping_peer_goes_elsewhere);
    CPPUNIT_TEST(renewal_without_peer_keeps_its_wait);
    CPPUNIT_TEST(renewal_refused_late_acknowledges_nothing);
    CPPUNIT_TEST(
        renewal_of_unresponsive_worker_never_goes_to_peer_of_other_zone);
    CPPUNIT_TEST(renewal_of_unresponsive_worker_takes_two_ways_at_once);
    CPPUNIT_TEST(unanswered_renewal_is_confirmed_by_peer_of_its_zone_only);
    CPPUNIT_TEST(unanswered_renewal_is_confirmed_by_leader_alone_in_its_zone);
    CPPUNIT_TEST(renewal_of_worker_without_daemon_near_is_direct);
    CPPUNIT_TEST(answer_duplicate_ends_call_once);
    CPPUNIT_TEST(answer_after_deadline_before_expiry_counts);
    CPPUNIT_TEST(answer_after_expiry_changes_nothing);
    CPPUNIT_TEST(answer_to_former_process_changes_nothing);
    CPPUNIT_TEST(answer_not_taken_makes_call_directly);
    CPPUNIT_TEST(answer_renewal_not_carried_out_is_retried_directly_at_once);
    CPPUNIT_TEST(answer_renewal_refused_by_worker_is_passed_on);
    CPPUNIT_TEST(answer_order_unknown_is_passed_on);
    CPPUNIT_TEST(answer_callback_makes_further_call);
    CPPUNIT_TEST(expire_order_only_after_its_timeout);
    CPPUNIT_TEST(expire_repeated_start_refused_is_unknown);
    CPPUNIT_TEST(answer_start_not_taken_passes_refusal_on);
    CPPUNIT_TEST(expire_renewal_only_after_its_wait);
    CPPUNIT_TEST(expire_backs_off_peer);
    CPPUNIT_TEST(link_lost_makes_only_its_calls_directly);
    CPPUNIT_TEST(start_peer_may_send_only_until_leader_makes_it);
    CPPUNIT_TEST(status_late_does_not_shorten_send_limit);
    CPPUNIT_TEST(calls_of_former_leader_are_not_repeated);
    CPPUNIT_TEST(start_that_is_not_awaited_is_not_repeated);
    CPPUNIT_TEST(start_that_no_peer_takes_is_made_without_filter);
    CPPUNIT_TEST(start_repeated_directly_keeps_its_send_limit);
    CPPUNIT_TEST(renewal_repeated_directly_gets_new_send_limit);
    CPPUNIT_TEST(call_repeated_after_pause_is_past_its_send_limit);
    CPPUNIT_TEST(call_peer_of_unknown_clock_goes_elsewhere);
    CPPUNIT_TEST(stop_peer_may_send_at_any_time);
    CPPUNIT_TEST(start_takes_the_way_of_the_last_acknowledgement);
    CPPUNIT_TEST(start_is_refused_while_acknowledgement_is_on_another_way);
    CPPUNIT_TEST(start_is_not_repeated_beside_an_acknowledgement);
    CPPUNIT_TEST(acknowledgement_is_on_one_way_at_a_time);
    CPPUNIT_TEST(acknowledgement_that_peer_refused_blocks_no_start);
    CPPUNIT_TEST_SUITE_END();

public:
    // If a worker's calls went over different peers, and so over several
    // connections, an order could overtake an earlier one.
    void call_peers_in_zone_always_uses_same_peer()
    {
        worker_relay_harness harness;
        for (const char* number : {"1", "2", "3", "4", "5"})
        {
            harness.link(std::string("a-") + number, "a");
            harness.link(std::string("b-") + number, "b");
        }
        for (int i = 0; i < 50; ++i)
        {
            const auto worker = harness.worker("w-" + std::to_string(i),
                                               i % 2 == 0 ? "a" : "b");
            harness.sent_calls.clear();
            harness.renew(worker);
            harness.stop(worker);
            harness.renew(worker);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.sent_calls.size());
            for (const auto& call : harness.sent_calls)
            {
                CPPUNIT_ASSERT_EQUAL(harness.sent_calls[0].peer.text(),
                                     call.peer.text());
                CPPUNIT_ASSERT_EQUAL(worker.zone.text(),
                                     call.peer.text().substr(0, 1));
                CPPUNIT_ASSERT(call.call.worker == worker.worker);
                CPPUNIT_ASSERT_EQUAL(worker.address, call.call.address);
            }
        }
        CPPUNIT_ASSERT(harness.direct_calls.empty());
    }

    // Similar names must not assign most workers to one peer, which would then
    // be as overloaded as the leader was.
    void call_350_workers_spread_over_five_peers()
    {
        worker_relay_harness harness;
        for (int i = 1; i <= 5; ++i)
        {
            harness.link("front-donau-west-a-" + std::to_string(i), "a");
        }
        for (int i = 0; i < 350; ++i)
        {
            harness.renew(
                harness.worker("batch-donau-west-a-" + std::to_string(i), "a"));
        }
        std::map<base::daemon_id, int> calls;
        for (const auto& call : harness.sent_calls)
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

    // A leader without peers must still reach its workers.
    void call_no_peer_is_made_directly()
    {
        worker_relay_harness harness;
        harness.renew(harness.worker("w", "a"), milliseconds(300));
        harness.stop(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
        harness.direct_calls[0].finish(order_outcome::carried_out);
        harness.direct_calls[1].finish(order_outcome::old_run);
        CPPUNIT_ASSERT(harness.outcomes ==
                       std::vector<order_outcome>({order_outcome::carried_out,
                                                   order_outcome::old_run}));
    }

    // A call that could not be sent must not wait for its deadline.
    void call_send_refused_is_made_directly_at_once()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.unreachable.insert(peer_a);
        harness.stop(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
        harness.clock.advance(std::chrono::seconds(10));
        harness.relay.expire();
        harness.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }

    // The round trip to another zone takes longer than a direct call.
    void call_worker_in_zone_of_leader_uses_no_peer_elsewhere()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "l"));
        CPPUNIT_ASSERT(harness.sent_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }

    // The leader must not call all workers of a zone without a daemon itself.
    void call_no_peer_in_other_zone_uses_peer_elsewhere()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sent_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls.empty());
    }

    // A stopping peer may leave new calls unanswered.
    void call_stopping_peer_goes_elsewhere()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        const auto far = harness.worker("w", "a");
        harness.stop(far);
        harness.relay.on_stopping(peer_a, true);
        // The peer still answers the call that it has.
        CPPUNIT_ASSERT(harness.relay.has_pending_calls());
        harness.stop(far);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sent_calls.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        harness.link("a-2", "a");
        harness.stop(far);
        CPPUNIT_ASSERT_EQUAL(std::string("a-2"),
                             harness.sent_calls.back().peer.text());
        harness.relay.on_answer(harness.answer_to(harness.sent_calls[0],
                                                  order_outcome::carried_out));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.outcomes.size());
        harness.relay.on_link_lost(base::daemon_id("a-2"));
        harness.relay.on_stopping(peer_a, false);
        harness.stop(far);
        CPPUNIT_ASSERT(harness.sent_calls.back().peer == peer_a);
    }

    // Without its wait each renewal is answered at once, and the leader asks
    // again at once: as many calls as fit its link.
    void renewal_without_peer_keeps_its_wait()
    {
        worker_relay_harness harness;
        harness.renew(harness.worker("w", "a"), milliseconds(300));
        harness.link("a-1", "a");
        harness.renew(harness.worker("v", "a"), milliseconds(300));
        wire::worker_answer refused;
        refused.nonce = harness.sent_calls.at(0).call.nonce;
        harness.relay.on_answer(refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
        for (const auto& call : harness.direct_calls)
        {
            CPPUNIT_ASSERT(call.renewal.wait == milliseconds(300));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, call.renewal.acknowledged);
        }
    }

    // By then the worker may have restarted.
    void renewal_refused_late_acknowledges_nothing()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"), milliseconds(1000));
        harness.clock.advance(worker_relay::order_timeout + milliseconds(1));
        wire::worker_answer refused;
        refused.nonce = harness.sent_calls.at(0).call.nonce;
        harness.relay.on_answer(refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             harness.direct_calls[0].renewal.acknowledged);
    }

    // A peer that shares the leader's way to the worker tells nothing new.
    void renewal_of_unresponsive_worker_never_goes_to_peer_of_other_zone()
    {
        worker_relay_harness harness;
        harness.link("b-1", "b");
        harness.renew(harness.worker("w", "a"), milliseconds(300), true);
        CPPUNIT_ASSERT(harness.sent_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[0].renewal.wait ==
                       milliseconds(300));
        harness.direct_calls[0].finish(order_outcome::unknown);
        CPPUNIT_ASSERT(harness.confirmed == std::vector<bool>({false}));
    }

    // Guards against a worker that counts as lost while it answers: only what a
    // peer of its zone says confirms that it does not.
    void unanswered_renewal_is_confirmed_by_peer_of_its_zone_only()
    {
        struct
        {
            const char* peer_zone;
            std::optional<order_outcome> peer_outcome;
            order_outcome direct_outcome;
            bool confirmed;
        } const cases[] = {
            {"a", order_outcome::unknown, order_outcome::unknown, true},
            {"a", order_outcome::unhealthy, order_outcome::unhealthy, true},
            {"a", order_outcome::unknown, order_outcome::carried_out, false},
            // The peer could not send it in time, or the worker refused it.
            {"a", order_outcome::late, order_outcome::unknown, false},
            {"a", order_outcome::refused, order_outcome::unknown, false},
            {"a", std::nullopt, order_outcome::unknown, false},
            {"b", order_outcome::unknown, order_outcome::unknown, false},
        };
        for (const auto& next : cases)
        {
            worker_relay_harness harness;
            harness.link("p", next.peer_zone);
            harness.renew(harness.worker("w", "a"));
            if (next.peer_outcome)
            {
                harness.relay.on_answer(harness.answer_to(
                    harness.sent_calls.at(0), *next.peer_outcome));
            }
            else
            {
                harness.clock.advance(worker_relay::renewal_slack);
                harness.relay.expire();
            }
            if (!harness.direct_calls.empty())
            {
                harness.direct_calls[0].finish(next.direct_outcome);
            }
            CPPUNIT_ASSERT(harness.confirmed ==
                           std::vector<bool>({next.confirmed}));
        }
    }

    // Guards against dead workers of a zone with one daemon that never count as
    // lost.
    void unanswered_renewal_is_confirmed_by_leader_alone_in_its_zone()
    {
        worker_relay_harness harness;
        harness.link("b-1", "b");
        harness.renew(harness.worker("w", "l"), milliseconds(0), true);
        CPPUNIT_ASSERT(harness.sent_calls.empty());
        harness.direct_calls.at(0).finish(order_outcome::unknown);
        CPPUNIT_ASSERT(harness.confirmed == std::vector<bool>({true}));
    }

    // The leader compares such a call with one to another worker there, so both
    // take the same way.
    void renewal_of_worker_without_daemon_near_is_direct()
    {
        worker_relay_harness harness;
        harness.link("b-1", "b");
        harness.renew(harness.worker("w", "a"), milliseconds(0), true);
        lease_renewal compared;
        compared.direct = true;
        std::vector<bool> none_near;
        harness.port.renew(harness.worker("v", "a"), compared,
                           [&](const renewal_result& result)
                           { none_near.push_back(result.no_daemon_near); });
        CPPUNIT_ASSERT(harness.sent_calls.empty());
        harness.direct_calls.at(0).finish(order_outcome::unknown);
        harness.direct_calls.at(1).finish(order_outcome::carried_out);
        CPPUNIT_ASSERT(harness.confirmed == std::vector<bool>({false}));
        CPPUNIT_ASSERT(harness.no_daemon_near == std::vector<bool>({true}));
        CPPUNIT_ASSERT(none_near == std::vector<bool>({false}));
    }

    // A peer that does not answer is not taken for an unresponsive worker, and
    // a lost worker is known as such after one time-out.
    void renewal_of_unresponsive_worker_takes_two_ways_at_once()
    {
        const auto unknown = order_outcome::unknown;
        const auto carried_out = order_outcome::carried_out;
        struct
        {
            std::optional<order_outcome> peer;
            order_outcome leader;
            bool peer_first;
            order_outcome expected;
            bool confirmed;
        } const cases[] = {
            {unknown, unknown, true, unknown, true},
            {unknown, unknown, false, unknown, true},
            {unknown, carried_out, true, carried_out, false},
            {carried_out, unknown, false, carried_out, false},
            {carried_out, carried_out, true, carried_out, false},
            {order_outcome::late, unknown, true, unknown, false},
            {std::nullopt, unknown, false, unknown, false},
            {std::nullopt, carried_out, false, carried_out, false},
        };
        for (const auto& next : cases)
        {
            worker_relay_harness harness;
            harness.link("a-1", "a");
            harness.renew(harness.worker("w", "a"), milliseconds(0), true);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sent_calls.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
            const auto finish_peer = [&]
            {
                if (next.peer)
                {
                    harness.relay.on_answer(
                        harness.answer_to(harness.sent_calls[0], *next.peer));
                    return;
                }
                harness.clock.advance(worker_relay::renewal_slack);
                harness.relay.expire();
            };
            if (next.peer_first)
            {
                finish_peer();
            }
            harness.direct_calls[0].finish(next.leader);
            if (!next.peer_first)
            {
                finish_peer();
            }
            CPPUNIT_ASSERT(harness.outcomes ==
                           std::vector<order_outcome>({next.expected}));
            CPPUNIT_ASSERT(harness.confirmed ==
                           std::vector<bool>({next.confirmed}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        }
    }

    // A start that ends twice would be counted or retried twice.
    void answer_duplicate_ends_call_once()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        harness.relay.on_answer(harness.answer_to(harness.sent_calls[0],
                                                  order_outcome::carried_out));
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls[0], order_outcome::late));
        harness.clock.advance(std::chrono::seconds(10));
        harness.relay.expire();
        harness.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT(harness.outcomes == std::vector<order_outcome>(
                                               {order_outcome::carried_out}));
        CPPUNIT_ASSERT(harness.direct_calls.empty());
    }

    // A leader that falls behind must not time out a call whose answer it has;
    // that prolonged the incident of December 2026.
    void answer_after_deadline_before_expiry_counts()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        harness.clock.advance(std::chrono::seconds(10));
        harness.relay.on_answer(harness.answer_to(harness.sent_calls[0],
                                                  order_outcome::carried_out));
        harness.relay.expire();
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.outcomes.size());
        // The peer is not backed off either.
        harness.stop(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.sent_calls.size());
    }

    // A call that is being made directly gets its only outcome from there.
    void answer_after_expiry_changes_nothing()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        harness.clock.advance(worker_relay::order_timeout);
        harness.relay.expire();
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls[0], order_outcome::late));
        CPPUNIT_ASSERT(harness.outcomes.empty());
        harness.direct_calls.at(0).finish(order_outcome::carried_out);
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls[0], order_outcome::late));
        CPPUNIT_ASSERT(harness.outcomes == std::vector<order_outcome>(
                                               {order_outcome::carried_out}));
    }

    // A restarted daemon gets the answers to calls of its former process, which
    // must not end calls of the new one.
    void answer_to_former_process_changes_nothing()
    {
        worker_relay_harness former;
        former.link("a-1", "a");
        former.stop(former.worker("v", "a"));
        worker_relay_harness restarted;
        restarted.clock.advance(milliseconds(1));
        worker_relay relay(restarted.direct_port, base::zone_id("l"),
                           restarted.clock, restarted.metrics,
                           [](const base::daemon_id&, const wire::worker_call&)
                           { return true; });
        relay.on_link(peer_a, base::zone_id("a"));
        relay.on_clock(peer_a, worker_relay_harness::peer_clock);
        bool ended = false;
        const auto worker = restarted.worker("w", "a");
        relay.port().stop(worker, 8, {worker.worker, {}, 1},
                          [&ended](order_outcome) { ended = true; });
        relay.on_answer(former.answer_to(former.sent_calls.at(0),
                                         order_outcome::carried_out));
        CPPUNIT_ASSERT(!ended);
        CPPUNIT_ASSERT(relay.has_pending_calls());
    }

    // A peer at its limit has not made the call.
    void answer_not_taken_makes_call_directly()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        wire::worker_answer answer;
        answer.nonce = harness.sent_calls[0].call.nonce;
        harness.relay.on_answer(answer);
        CPPUNIT_ASSERT(harness.outcomes.empty());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
        harness.direct_calls.at(0).finish(order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.outcomes.size());
    }

    // A worker that only the peer cannot reach must not count as unresponsive,
    // and the leader must not wait a second time for ends.
    void answer_renewal_not_carried_out_is_retried_directly_at_once()
    {
        for (const order_outcome outcome :
             {order_outcome::unknown, order_outcome::unhealthy})
        {
            worker_relay_harness harness;
            harness.link("a-1", "a");
            harness.renew(harness.worker("w", "a"), milliseconds(300));
            harness.relay.on_answer(
                harness.answer_to(harness.sent_calls.at(0), outcome));
            CPPUNIT_ASSERT(harness.outcomes.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
            const lease_renewal& retry = harness.direct_calls[0].renewal;
            CPPUNIT_ASSERT(retry.wait == milliseconds(0));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, retry.epoch);
            // The worker may have restarted since the leader read its ends.
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, retry.acknowledged);
            CPPUNIT_ASSERT(retry.lease_end == milliseconds(9000));
            harness.direct_calls[0].finish(order_outcome::unknown);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.outcomes.size());
        }
    }

    // An outcome from the worker itself needs no second call.
    void answer_renewal_refused_by_worker_is_passed_on()
    {
        for (const order_outcome outcome :
             {order_outcome::carried_out, order_outcome::fenced,
              order_outcome::other_worker, order_outcome::refused})
        {
            worker_relay_harness harness;
            harness.link("a-1", "a");
            harness.renew(harness.worker("w", "a"));
            harness.relay.on_answer(
                harness.answer_to(harness.sent_calls.at(0), outcome));
            CPPUNIT_ASSERT(harness.direct_calls.empty());
            CPPUNIT_ASSERT(harness.outcomes ==
                           std::vector<order_outcome>({outcome}));
        }
    }

    // The leader must resolve an order that the peer may have carried out: a
    // retry here would hide that its outcome is unknown.
    void answer_order_unknown_is_passed_on()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls[0], order_outcome::unknown));
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        CPPUNIT_ASSERT(harness.outcomes ==
                       std::vector<order_outcome>({order_outcome::unknown}));
    }

    // A call made within a callback must not disturb the iteration over the
    // calls.
    void answer_callback_makes_further_call()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        const auto worker = harness.worker("w", "a");
        for (int i = 0; i < 3; ++i)
        {
            harness.port.stop(worker, 7, {worker.worker, {}, 1},
                              [&harness, worker](order_outcome)
                              { harness.stop(worker); });
        }
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls.at(0), order_outcome::late));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.sent_calls.size());
        harness.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, harness.direct_calls.size());
        harness.direct_calls.at(0).finish(order_outcome::late);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, harness.direct_calls.size());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
    }

    // A call that times out early is made twice needlessly, one that never
    // times out keeps its run uncertain.
    void expire_order_only_after_its_timeout()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        harness.clock.advance(worker_relay::order_timeout - milliseconds(1));
        harness.relay.expire();
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        harness.clock.advance(milliseconds(1));
        harness.relay.expire();
        harness.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
    }

    // Guards against a task that runs twice: the second start is refused
    // because the peer made the first and its run has ended, or the peer makes
    // the first only later.
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
            worker_relay_harness harness;
            harness.link("a-1", "a");
            harness.start(harness.worker("w", "a"));
            harness.clock.advance(worker_relay::order_timeout);
            harness.relay.expire();
            harness.direct_calls.at(0).finish(second);
            CPPUNIT_ASSERT(harness.outcomes.at(0) == expected);
        }
    }

    // Guards against looking up a start that no peer has made.
    void answer_start_not_taken_passes_refusal_on()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.start(harness.worker("w", "a"));
        wire::worker_answer answer;
        answer.nonce = harness.sent_calls.at(0).call.nonce;
        harness.relay.on_answer(answer);
        harness.direct_calls.at(0).finish(order_outcome::no_room);
        CPPUNIT_ASSERT(harness.outcomes.at(0) == order_outcome::no_room);
    }

    // A renewal long-polls the worker, so a peer that does not answer meanwhile
    // is not unresponsive.
    void expire_renewal_only_after_its_wait()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        const milliseconds wait(1000);
        harness.renew(harness.worker("w", "a"), wait);
        CPPUNIT_ASSERT(harness.sent_calls.at(0).call.wait == wait);
        harness.clock.advance(wait + worker_relay::renewal_slack -
                              milliseconds(1));
        harness.relay.expire();
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        harness.clock.advance(milliseconds(1));
        harness.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[0].renewal.wait == milliseconds(0));
    }

    // Without a back-off, each call to the workers of a stuck peer would wait
    // for its whole timeout.
    void expire_backs_off_peer()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        const auto worker = harness.worker("w", "a");
        harness.stop(worker);
        harness.clock.advance(worker_relay::order_timeout);
        harness.relay.expire();
        harness.clock.advance(worker_relay::peer_backoff - milliseconds(1));
        harness.stop(worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.sent_calls.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
        harness.clock.advance(milliseconds(1));
        harness.stop(worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.sent_calls.size());
    }

    // After a lost link, calls over that peer must not wait for their whole
    // timeout, and calls over other peers must not be affected.
    void link_lost_makes_only_its_calls_directly()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.link("b-1", "b");
        harness.stop(harness.worker("w", "a"));
        harness.renew(harness.worker("w", "a"), milliseconds(300));
        harness.stop(harness.worker("v", "b"));
        harness.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[1].renewal.wait == milliseconds(0));
        CPPUNIT_ASSERT(harness.relay.has_pending_calls());
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls.at(0), order_outcome::late));
        CPPUNIT_ASSERT(harness.outcomes.empty());
        harness.relay.on_answer(
            harness.answer_to(harness.sent_calls.at(2), order_outcome::late));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.outcomes.size());
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
    }

    // Guards against seed 1020 of the soak: a start that was held up on its way
    // to a peer reached the worker after the leader had made it directly, the
    // run had ended and the worker had restarted.
    void start_peer_may_send_only_until_leader_makes_it()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        // The status is this old when the start is ordered.
        harness.clock.advance(milliseconds(200));
        harness.start(harness.worker("w", "a"));
        harness.renew(harness.worker("w", "a"), milliseconds(1000));
        for (const auto& sent : harness.sent_calls)
        {
            CPPUNIT_ASSERT(sent.call.send_by ==
                           worker_relay_harness::peer_clock +
                               milliseconds(200) + worker_relay::order_timeout);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.sent_calls.size());
    }

    // Guards, with the next four, against ends of a new life of a worker that
    // are acknowledged unread: the worker restarts between two calls, and the
    // later one, a start, overtakes the earlier one.
    void start_takes_the_way_of_the_last_acknowledgement()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.sent_calls.size());
        CPPUNIT_ASSERT(harness.outcomes.empty());
    }

    void start_is_refused_while_acknowledgement_is_on_another_way()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"), milliseconds(1000));
        harness.relay.on_stopping(base::daemon_id("a-1"), true);
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT(harness.outcomes ==
                       std::vector<order_outcome>({order_outcome::unhealthy}));
        // Another worker has nothing on its way.
        harness.start(harness.worker("v", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        harness.clock.advance(worker_relay_harness::send_limit +
                              worker_relay::call_transit);
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        harness.clock.advance(milliseconds(1));
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
    }

    void start_is_not_repeated_beside_an_acknowledgement()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"), milliseconds(1000));
        harness.start(harness.worker("w", "a"));
        harness.relay.on_link_lost(base::daemon_id("a-1"));
        CPPUNIT_ASSERT(harness.outcomes ==
                       std::vector<order_outcome>({order_outcome::unknown}));
        // Only the renewal, which acknowledges nothing.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             harness.direct_calls[0].renewal.acknowledged);
    }

    void acknowledgement_is_on_one_way_at_a_time()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        harness.relay.on_stopping(base::daemon_id("a-1"), true);
        harness.renew(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             harness.direct_calls.at(0).renewal.acknowledged);
        harness.clock.advance(worker_relay_harness::send_limit +
                              worker_relay::call_transit + milliseconds(1));
        harness.renew(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             harness.direct_calls.at(1).renewal.acknowledged);
    }

    void acknowledgement_that_peer_refused_blocks_no_start()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        auto refusal =
            harness.answer_to(harness.sent_calls.at(0), order_outcome::unknown);
        refusal.taken = false;
        harness.relay.on_answer(refusal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                             harness.direct_calls.at(0).renewal.acknowledged);
        harness.relay.on_link_lost(base::daemon_id("a-1"));
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
    }

    // A leader that is short of processor handles statuses late. If each one
    // set the clock back, its calls would be too late for the peer when they
    // arrive.
    void status_late_does_not_shorten_send_limit()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.clock.advance(milliseconds(1000));
        // It was sent 400 ms ago.
        harness.relay.on_clock(peer_a, worker_relay_harness::peer_clock +
                                           milliseconds(600));
        harness.start(harness.worker("w", "a"));
        const milliseconds exact = worker_relay_harness::peer_clock +
                                   milliseconds(1000) +
                                   worker_relay::order_timeout;
        const milliseconds limit = *harness.sent_calls.at(0).call.send_by;
        CPPUNIT_ASSERT(limit <= exact);
        // The clocks may have drifted apart by 2%.
        CPPUNIT_ASSERT(limit >= exact - milliseconds(21));
    }

    // Guards against a worker that restarts, knows no fencing token, and takes
    // a start of a leader that has stepped down.
    void calls_of_former_leader_are_not_repeated()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.start(harness.worker("w", "a"));
        harness.stop(harness.worker("w", "a"));
        harness.renew(harness.worker("w", "a"));
        harness.relay.abandon();
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
        harness.clock.advance(std::chrono::seconds(2));
        harness.relay.expire();
        harness.relay.on_answer(harness.answer_to(harness.sent_calls.at(0),
                                                  order_outcome::unknown));
        harness.relay.on_link_lost(peer_a);
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        CPPUNIT_ASSERT(harness.outcomes.empty());
    }

    // Guards against a second run of a task whose end was read while the answer
    // of the peer was missing, on a worker that has restarted since.
    void start_that_is_not_awaited_is_not_repeated()
    {
        worker_relay_harness harness;
        bool awaited = true;
        harness.relay.set_start_filter(
            [&awaited](const base::worker_id&, const jobs::task_key&,
                       std::uint64_t) { return awaited; });
        harness.link("a-1", "a");
        harness.start(harness.worker("w", "a"));
        harness.start(harness.worker("v", "a"));
        harness.clock.advance(worker_relay::order_timeout);
        awaited = false;
        harness.relay.expire();
        CPPUNIT_ASSERT(harness.direct_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.outcomes.size());
        CPPUNIT_ASSERT(harness.outcomes[0] == order_outcome::unknown);
        CPPUNIT_ASSERT(!harness.relay.has_pending_calls());
    }

    // Nobody else has made it, so that its outcome is known.
    void start_that_no_peer_takes_is_made_without_filter()
    {
        worker_relay_harness harness;
        harness.relay.set_start_filter(
            [](const base::worker_id&, const jobs::task_key&, std::uint64_t)
            { return false; });
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }

    // The order says until when it may be sent, whoever sends it.
    void start_repeated_directly_keeps_its_send_limit()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        const base::time_point limit =
            harness.clock.now() + worker_relay_harness::send_limit;
        harness.start(harness.worker("w", "a"));
        harness.clock.advance(worker_relay::order_timeout);
        harness.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[0].send_by == limit);
    }

    void renewal_repeated_directly_gets_new_send_limit()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        harness.clock.advance(worker_relay::renewal_slack);
        harness.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[0].renewal.send_by ==
                       harness.clock.now() + worker_relay::order_timeout);
    }

    // A leader that wakes up from a pause would start tasks and grant leases by
    // a right to lead that another daemon has by now.
    void call_repeated_after_pause_is_past_its_send_limit()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.start(harness.worker("w", "a"));
        harness.renew(harness.worker("w", "a"), milliseconds(300));
        harness.clock.advance(milliseconds(4000));
        harness.relay.expire();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, harness.direct_calls.size());
        CPPUNIT_ASSERT(harness.direct_calls[0].send_by < harness.clock.now());
        CPPUNIT_ASSERT(harness.direct_calls[1].renewal.send_by <
                       harness.clock.now());
    }

    void call_peer_of_unknown_clock_goes_elsewhere()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.relay.on_clock(peer_a, std::nullopt);
        harness.start(harness.worker("w", "a"));
        CPPUNIT_ASSERT(harness.sent_calls.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }

    // The worker recognizes an old stop by the number of its run.
    void stop_peer_may_send_at_any_time()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        CPPUNIT_ASSERT(!harness.sent_calls.at(0).call.send_by);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_test);

} // namespace coltsfootrack::cell
