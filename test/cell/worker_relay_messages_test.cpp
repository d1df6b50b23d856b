// Guards against losing fields of a call or of its answer over a peer.

#include "worker_relay_harness.hpp"

#include <coltsfootrack/cell/peer_time.hpp>

#include <coltsfootrack/wire/codec.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <variant>

namespace coltsfootrack::cell
{
namespace
{

using fleet::order_outcome;
using std::chrono::milliseconds;

// The largest number in use: detects fields that are narrowed.
constexpr std::uint64_t large = 9007199254740993U;

jobs::task_key task_of_index(int index)
{
    return {{base::job_id("0a1b2c"), 3, 4}, index};
}

// A message after encoding and decoding.
template <class Message>
Message encode_and_decode(const Message& value)
{
    const auto decoded = wire::decode(wire::encode(wire::message(value)));
    CPPUNIT_ASSERT(decoded.ok());
    return std::get<Message>(*decoded);
}

// A leader and one peer that makes calls for it.
struct leader_and_peer
{
    leader_and_peer()
    {
        leader.link("a-1", "a");
    }

    // Has the peer make the leader's last call, and returns that call.
    worker_relay_harness::direct_call& make_call()
    {
        make_relayed_call(peer.direct_port,
                          encode_and_decode(leader.sent_calls.back().call),
                          [this](const wire::worker_answer& answer) {
                              leader.relay.on_answer(encode_and_decode(answer));
                          });
        return peer.direct_calls.back();
    }

    worker_relay_harness leader;
    worker_relay_harness peer;
};

fleet::worker_report large_report(int ends)
{
    fleet::worker_report report;
    report.life = static_cast<std::int64_t>(large);
    report.clock = milliseconds(86400123);
    report.running.push_back({task_of_index(1), large, "step=7", 37, 1234.5});
    report.running.push_back({task_of_index(2), 1001, "", 0, 0});
    for (int i = 0; i < ends; ++i)
    {
        constexpr int kinds = static_cast<int>(fleet::end_kind::alone) + 1;
        report.ended.push_back({large + static_cast<std::uint64_t>(i),
                                task_of_index(i),
                                large - static_cast<std::uint64_t>(i),
                                static_cast<fleet::end_kind>(i % kinds),
                                "checkpoint " + std::to_string(i)});
    }
    return report;
}

} // namespace

class worker_relay_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_relay_messages_test);
    CPPUNIT_TEST(start_over_peer_keeps_every_field);
    CPPUNIT_TEST(stop_over_peer_keeps_every_field);
    CPPUNIT_TEST(pace_over_peer_keeps_every_field);
    CPPUNIT_TEST(order_over_peer_keeps_every_outcome);
    CPPUNIT_TEST(renewal_over_peer_keeps_every_field);
    CPPUNIT_TEST(renewal_without_lease_grants_none);
    CPPUNIT_TEST(report_with_500_ends_arrives_complete);
    CPPUNIT_TEST(order_unknown_outcome_number_is_unknown);
    CPPUNIT_TEST(renewal_unknown_outcome_number_is_retried_directly);
    CPPUNIT_TEST(renewal_unknown_end_kind_is_retried_directly);
    CPPUNIT_TEST(start_over_peer_keeps_clock_of_worker);
    CPPUNIT_TEST(send_limit_out_of_range_becomes_nearest_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // A start without its ticket, checkpoint or lease end would be refused, run
    // from the beginning or run beyond its lease.
    void start_over_peer_keeps_every_field()
    {
        leader_and_peer both;
        const auto worker = both.leader.worker("w-17", "a");
        const fleet::start_order order{worker.worker, task_of_index(9),
                                       large,         "payload",
                                       "checkpoint",  "ticket"};
        std::optional<order_outcome> result;
        const base::time_point send_by =
            both.leader.clock.now() + milliseconds(450);
        both.leader.port.start(
            worker, large, order, milliseconds(5123), send_by,
            [&result](const fleet::start_result& r) { result = r.outcome; });
        const auto& call = both.make_call();
        CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::start);
        CPPUNIT_ASSERT(call.worker.worker == worker.worker);
        CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
        CPPUNIT_ASSERT_EQUAL(large, call.epoch);
        CPPUNIT_ASSERT(call.lease_end == milliseconds(5123));
        // On the clock of the peer, as its status gave it.
        CPPUNIT_ASSERT(to_peer_time(call.send_by) ==
                       worker_relay_harness::peer_clock + milliseconds(450));
        CPPUNIT_ASSERT(call.start.worker == order.worker);
        CPPUNIT_ASSERT(call.start.task == order.task);
        CPPUNIT_ASSERT_EQUAL(order.run, call.start.run);
        CPPUNIT_ASSERT_EQUAL(order.payload, call.start.payload);
        CPPUNIT_ASSERT_EQUAL(order.checkpoint, call.start.checkpoint);
        CPPUNIT_ASSERT_EQUAL(order.ticket, call.start.ticket);
        call.finish(order_outcome::bad_ticket);
        CPPUNIT_ASSERT(result == order_outcome::bad_ticket);
    }

    // Without the clock a restarted worker is not recognized, and ends of its
    // new life are acknowledged unread.
    void start_over_peer_keeps_clock_of_worker()
    {
        for (const std::int64_t clock_ms : {0, 1, 482113})
        {
            leader_and_peer both;
            const auto worker = both.leader.worker("w-17", "a");
            std::optional<fleet::start_result> result;
            both.leader.port.start(
                worker, large, {worker.worker, task_of_index(9), 1, "", "", ""},
                milliseconds(5123), both.leader.clock.now() + milliseconds(450),
                [&result](const fleet::start_result& r) { result = r; });
            both.make_call().finish_start(
                {order_outcome::carried_out, milliseconds(clock_ms)});
            CPPUNIT_ASSERT(result->outcome == order_outcome::carried_out);
            CPPUNIT_ASSERT(result->clock);
            CPPUNIT_ASSERT(*result->clock - milliseconds(clock_ms) <=
                           milliseconds(1));
        }
    }

    // A malformed message must not make the arithmetic of times overflow.
    void send_limit_out_of_range_becomes_nearest_time()
    {
        CPPUNIT_ASSERT(from_peer_time(milliseconds::max()) <=
                       base::time_point::max());
        CPPUNIT_ASSERT(from_peer_time(milliseconds::max()) >
                       base::time_point() + std::chrono::hours(1000000));
        CPPUNIT_ASSERT(from_peer_time(milliseconds::min()) <
                       base::time_point() - std::chrono::hours(1000000));
        CPPUNIT_ASSERT(from_peer_time(milliseconds(1500)) ==
                       base::time_point() + milliseconds(1500));
    }

    // A stop of the wrong run would end work that is still needed.
    void stop_over_peer_keeps_every_field()
    {
        leader_and_peer both;
        const auto worker = both.leader.worker("w-17", "a");
        std::optional<order_outcome> result;
        both.leader.port.stop(worker, large,
                              {worker.worker, task_of_index(9), large},
                              [&result](order_outcome o) { result = o; });
        const auto& call = both.make_call();
        CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::stop);
        CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
        CPPUNIT_ASSERT_EQUAL(large, call.epoch);
        CPPUNIT_ASSERT(call.stop.worker == worker.worker);
        CPPUNIT_ASSERT(call.stop.task == task_of_index(9));
        CPPUNIT_ASSERT_EQUAL(large, call.stop.run);
        call.finish(order_outcome::old_run);
        CPPUNIT_ASSERT(result == order_outcome::old_run);
    }

    // A task at the wrong pace, or at none, misses its deadline.
    void pace_over_peer_keeps_every_field()
    {
        for (const int percent : {0, 1, 55, 100})
        {
            leader_and_peer both;
            const auto worker = both.leader.worker("w-17", "a");
            std::optional<order_outcome> result;
            both.leader.port.pace(
                worker, large,
                {worker.worker, task_of_index(9), large, percent},
                [&result](order_outcome o) { result = o; });
            const auto& call = both.make_call();
            CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::pace);
            CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
            CPPUNIT_ASSERT_EQUAL(large, call.epoch);
            CPPUNIT_ASSERT(call.pace.worker == worker.worker);
            CPPUNIT_ASSERT(call.pace.task == task_of_index(9));
            CPPUNIT_ASSERT_EQUAL(large, call.pace.run);
            CPPUNIT_ASSERT_EQUAL(percent, call.pace.percent);
            call.finish(order_outcome::carried_out);
            CPPUNIT_ASSERT(result == order_outcome::carried_out);
        }
    }

    // The leader handles each outcome differently.
    void order_over_peer_keeps_every_outcome()
    {
        for (int i = 0; i <= static_cast<int>(order_outcome::unknown); ++i)
        {
            leader_and_peer both;
            both.leader.stop(both.leader.worker("w", "a"));
            both.make_call().finish(static_cast<order_outcome>(i));
            CPPUNIT_ASSERT(
                both.leader.outcomes ==
                std::vector<order_outcome>({static_cast<order_outcome>(i)}));
        }
    }

    // Without its acknowledgement, a renewal lets ends accumulate; without its
    // lease, it ends running tasks.
    void renewal_over_peer_keeps_every_field()
    {
        leader_and_peer both;
        const auto worker = both.leader.worker("w-17", "a");
        lease_renewal renewal;
        renewal.epoch = large;
        renewal.acknowledged = large - 1;
        renewal.lease_end = milliseconds(86405123);
        renewal.wait = milliseconds(321);
        std::optional<renewal_result> result;
        both.leader.port.renew(worker, renewal,
                               [&result](const renewal_result& r)
                               { result = r; });
        const auto& call = both.make_call();
        CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::renew);
        CPPUNIT_ASSERT(call.worker.worker == worker.worker);
        CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
        CPPUNIT_ASSERT_EQUAL(large, call.renewal.epoch);
        CPPUNIT_ASSERT_EQUAL(large - 1, call.renewal.acknowledged);
        CPPUNIT_ASSERT(call.renewal.lease_end == renewal.lease_end);
        CPPUNIT_ASSERT(call.renewal.wait == renewal.wait);
        const fleet::worker_report report = large_report(6);
        call.finish_renewal({order_outcome::carried_out, report});
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(result->outcome == order_outcome::carried_out);
        CPPUNIT_ASSERT(result->report == report);
    }

    // A lease end of 0 would end the lease instead of leaving it unchanged.
    void renewal_without_lease_grants_none()
    {
        leader_and_peer both;
        both.leader.port.renew(both.leader.worker("w", "a"), {},
                               [](const renewal_result&) {});
        CPPUNIT_ASSERT(!both.make_call().renewal.lease_end);
    }

    // After an outage a worker reports hundreds of ends; a run whose end is
    // missing is considered lost and started again.
    void report_with_500_ends_arrives_complete()
    {
        leader_and_peer both;
        std::optional<renewal_result> result;
        both.leader.port.renew(both.leader.worker("w", "a"), {},
                               [&result](const renewal_result& r)
                               { result = r; });
        const fleet::worker_report report = large_report(500);
        both.make_call().finish_renewal({order_outcome::carried_out, report});
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{500}, result->report.ended.size());
        CPPUNIT_ASSERT(result->report == report);
    }

    // A peer of a later version may know more outcomes; an unknown one does not
    // tell whether the order was carried out.
    void order_unknown_outcome_number_is_unknown()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.stop(harness.worker("w", "a"));
        auto answer =
            harness.answer_to(harness.sent_calls.at(0), order_outcome::unknown);
        ++answer.outcome;
        harness.relay.on_answer(answer);
        CPPUNIT_ASSERT(harness.outcomes ==
                       std::vector<order_outcome>({order_outcome::unknown}));
    }

    void renewal_unknown_outcome_number_is_retried_directly()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        auto answer =
            harness.answer_to(harness.sent_calls.at(0), order_outcome::unknown);
        answer.outcome = 255;
        harness.relay.on_answer(answer);
        CPPUNIT_ASSERT(harness.outcomes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }

    // If only some ends of a report could be read, the other runs would be
    // considered lost.
    void renewal_unknown_end_kind_is_retried_directly()
    {
        worker_relay_harness harness;
        harness.link("a-1", "a");
        harness.renew(harness.worker("w", "a"));
        auto answer = harness.answer_to(harness.sent_calls.at(0),
                                        order_outcome::carried_out);
        answer.ended.resize(2);
        answer.ended[1].kind =
            static_cast<std::uint8_t>(fleet::end_kind::alone) + 1;
        harness.relay.on_answer(answer);
        CPPUNIT_ASSERT(harness.outcomes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.direct_calls.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_messages_test);

} // namespace coltsfootrack::cell
