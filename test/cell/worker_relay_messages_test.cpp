// Guards against fields of a call or of its answer that get lost on the way
// over a peer.

#include "worker_relay_world.hpp"

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

// The largest numbers that are in use: the fields must not be narrowed.
constexpr std::uint64_t large = 9007199254740993U;

jobs::task_key some_task(int index)
{
    return {{base::job_id("0a1b2c"), 3, 4}, index};
}

// A message as a peer reads it.
template <class Message>
Message sent_over(const Message& value)
{
    const auto decoded = wire::decode(wire::encode(wire::message(value)));
    CPPUNIT_ASSERT(decoded.ok());
    return std::get<Message>(*decoded);
}

// The leader and one peer that makes its calls.
struct leader_and_peer
{
    leader_and_peer()
    {
        leader.link("a-1", "a");
    }

    // Lets the peer make the leader's last call, and returns that call.
    worker_relay_world::direct_call& make_call()
    {
        make_relayed_call(peer.direct_port, sent_over(leader.sent.back().call),
                          [this](const wire::worker_answer& answer)
                          { leader.relay.on_answer(sent_over(answer)); });
        return peer.made.back();
    }

    worker_relay_world leader;
    worker_relay_world peer;
};

fleet::worker_report large_report(int ends)
{
    fleet::worker_report report;
    report.life = static_cast<std::int64_t>(large);
    report.clock = milliseconds(86400123);
    report.running.push_back({some_task(1), large, "step=7", 37, 1234.5});
    report.running.push_back({some_task(2), 1001, "", 0, 0});
    for (int i = 0; i < ends; ++i)
    {
        constexpr int kinds = static_cast<int>(fleet::end_kind::alone) + 1;
        report.ended.push_back({large + static_cast<std::uint64_t>(i),
                                some_task(i),
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
    CPPUNIT_TEST(report_with_500_ends_arrives_whole);
    CPPUNIT_TEST(order_unknown_outcome_number_is_unknown);
    CPPUNIT_TEST(renewal_unknown_outcome_number_is_asked_directly);
    CPPUNIT_TEST(renewal_unknown_end_kind_is_asked_directly);
    CPPUNIT_TEST_SUITE_END();

public:
    // A start without its ticket, checkpoint or lease end would be refused, or
    // would run from the beginning or beyond its lease.
    void start_over_peer_keeps_every_field()
    {
        leader_and_peer both;
        const auto worker = both.leader.worker("w-17", "a");
        const fleet::start_order order{worker.worker, some_task(9), large,
                                       "payload",     "checkpoint", "ticket"};
        std::optional<order_outcome> result;
        both.leader.port.start(worker, large, order, milliseconds(5123),
                               [&result](order_outcome o) { result = o; });
        const auto& call = both.make_call();
        CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::start);
        CPPUNIT_ASSERT(call.worker.worker == worker.worker);
        CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
        CPPUNIT_ASSERT_EQUAL(large, call.epoch);
        CPPUNIT_ASSERT(call.lease_end == milliseconds(5123));
        CPPUNIT_ASSERT(call.start.worker == order.worker);
        CPPUNIT_ASSERT(call.start.task == order.task);
        CPPUNIT_ASSERT_EQUAL(order.run, call.start.run);
        CPPUNIT_ASSERT_EQUAL(order.payload, call.start.payload);
        CPPUNIT_ASSERT_EQUAL(order.checkpoint, call.start.checkpoint);
        CPPUNIT_ASSERT_EQUAL(order.ticket, call.start.ticket);
        call.finish(order_outcome::bad_ticket);
        CPPUNIT_ASSERT(result == order_outcome::bad_ticket);
    }

    // A stop of another run would end work that is wanted.
    void stop_over_peer_keeps_every_field()
    {
        leader_and_peer both;
        const auto worker = both.leader.worker("w-17", "a");
        std::optional<order_outcome> result;
        both.leader.port.stop(worker, large,
                              {worker.worker, some_task(9), large},
                              [&result](order_outcome o) { result = o; });
        const auto& call = both.make_call();
        CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::stop);
        CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
        CPPUNIT_ASSERT_EQUAL(large, call.epoch);
        CPPUNIT_ASSERT(call.stop.worker == worker.worker);
        CPPUNIT_ASSERT(call.stop.task == some_task(9));
        CPPUNIT_ASSERT_EQUAL(large, call.stop.run);
        call.finish(order_outcome::old_run);
        CPPUNIT_ASSERT(result == order_outcome::old_run);
    }

    // A task at the pace of another, or at none, misses its time.
    void pace_over_peer_keeps_every_field()
    {
        for (const int percent : {0, 1, 55, 100})
        {
            leader_and_peer both;
            const auto worker = both.leader.worker("w-17", "a");
            std::optional<order_outcome> result;
            both.leader.port.pace(worker, large,
                                  {worker.worker, some_task(9), large, percent},
                                  [&result](order_outcome o) { result = o; });
            const auto& call = both.make_call();
            CPPUNIT_ASSERT(call.kind == wire::worker_call_kind::pace);
            CPPUNIT_ASSERT_EQUAL(worker.address, call.worker.address);
            CPPUNIT_ASSERT_EQUAL(large, call.epoch);
            CPPUNIT_ASSERT(call.pace.worker == worker.worker);
            CPPUNIT_ASSERT(call.pace.task == some_task(9));
            CPPUNIT_ASSERT_EQUAL(large, call.pace.run);
            CPPUNIT_ASSERT_EQUAL(percent, call.pace.percent);
            call.finish(order_outcome::carried_out);
            CPPUNIT_ASSERT(result == order_outcome::carried_out);
        }
    }

    // The leader acts on each outcome in another way.
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

    // A renewal that loses its acknowledgement lets ends pile up, one that
    // loses its lease ends what runs.
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

    // A lease end of 0 would end the lease instead of leaving it.
    void renewal_without_lease_grants_none()
    {
        leader_and_peer both;
        both.leader.port.renew(both.leader.worker("w", "a"), {},
                               [](const renewal_result&) {});
        CPPUNIT_ASSERT(!both.make_call().renewal.lease_end);
    }

    // After an outage a worker lists hundreds of ends; a run whose end is left
    // out counts as gone and is started again.
    void report_with_500_ends_arrives_whole()
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

    // A peer of a later version may know more outcomes; what it says leaves
    // open whether the order was carried out.
    void order_unknown_outcome_number_is_unknown()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.stop(w.worker("w", "a"));
        auto answer = w.answer_to(w.sent.at(0), order_outcome::unknown);
        ++answer.outcome;
        w.relay.on_answer(answer);
        CPPUNIT_ASSERT(w.outcomes ==
                       std::vector<order_outcome>({order_outcome::unknown}));
    }

    void renewal_unknown_outcome_number_is_asked_directly()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.renew(w.worker("w", "a"));
        auto answer = w.answer_to(w.sent.at(0), order_outcome::unknown);
        answer.outcome = 255;
        w.relay.on_answer(answer);
        CPPUNIT_ASSERT(w.outcomes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
    }

    // A report whose ends are known in part would let the others count as
    // gone.
    void renewal_unknown_end_kind_is_asked_directly()
    {
        worker_relay_world w;
        w.link("a-1", "a");
        w.renew(w.worker("w", "a"));
        auto answer = w.answer_to(w.sent.at(0), order_outcome::carried_out);
        answer.ended.resize(2);
        answer.ended[1].kind =
            static_cast<std::uint8_t>(fleet::end_kind::alone) + 1;
        w.relay.on_answer(answer);
        CPPUNIT_ASSERT(w.outcomes.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, w.made.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_messages_test);

} // namespace coltsfootrack::cell
