// Compares the relay with a simple model over random sequences of calls,
// answers, lost links and timeouts. Guards against calls that end twice or
// never, or that go to a peer that must not get them.

#include "worker_relay_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <random>

namespace coltsfootrack::cell
{
namespace
{

using fleet::order_outcome;
using std::chrono::milliseconds;

constexpr int peer_count = 5;
constexpr int worker_count = 12;

// The state of a call according to the model.
enum class call_state
{
    at_peer,
    direct,
    ended
};

struct modelled_call
{
    call_state state = call_state::direct;
    bool renewal = false;
    bool start = false;
    // Made directly although a peer may already have made it.
    bool maybe_duplicate = false;
    // While it is at a peer.
    base::daemon_id peer;
    base::time_point deadline;
    // Once it has ended.
    order_outcome expected = order_outcome::unknown;
    // The outcomes that the relay has passed to the caller.
    std::vector<order_outcome> delivered;
    // How often the relay has made it directly.
    int direct_count = 0;
};

struct modelled_peer
{
    bool stopping = false;
    base::time_point backed_off_until;
};

// Runs the relay and its model with the same random events.
class compared_relay
{
public:
    explicit compared_relay(std::uint64_t seed)
        : random_(seed)
    {
    }

    void step()
    {
        const auto peer = any_peer();
        switch (random_below(12))
        {
        case 0:
            harness_.link(peer.text(), zone_of(peer));
            peers_[peer] = {};
            break;
        case 1:
            lose_link(peer);
            break;
        case 2:
            set_stopping(peer, random_below(2) == 0);
            break;
        case 3:
            set_unreachable(peer, random_below(3) == 0);
            break;
        case 4:
            harness_.clock.advance(milliseconds(random_below(700)));
            break;
        case 5:
            expire();
            break;
        case 6:
        case 7:
            answer_sent();
            break;
        case 8:
            finish_direct();
            break;
        default:
            make_call();
        }
        compare();
    }

    // Ends all pending calls, and checks that each call had one outcome.
    void finish()
    {
        for (int i = 0; i < peer_count; ++i)
        {
            lose_link(peer_named(i));
        }
        while (!pending_direct_.empty())
        {
            finish_direct();
        }
        compare();
        CPPUNIT_ASSERT(!harness_.relay.has_pending_calls());
        for (const modelled_call& call : calls_)
        {
            CPPUNIT_ASSERT(call.state == call_state::ended);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, call.delivered.size());
        }
    }

    // Calls that a peer answered, and calls made directly after they were sent
    // to a peer; counted to show that both occur.
    int ended_at_peer = 0;
    int moved_to_direct = 0;

private:
    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    static base::daemon_id peer_named(int i)
    {
        return base::daemon_id((i % 2 == 0 ? "a-" : "b-") + std::to_string(i));
    }

    base::daemon_id any_peer()
    {
        return peer_named(static_cast<int>(random_below(peer_count)));
    }

    static std::string zone_of(const base::daemon_id& peer)
    {
        return peer.text().substr(0, 1);
    }

    // Whether the peer may get calls.
    bool usable(const base::daemon_id& peer) const
    {
        const auto found = peers_.find(peer);
        return found != peers_.end() && !found->second.stopping &&
               found->second.backed_off_until <= harness_.clock.now();
    }

    bool any_usable(const std::optional<std::string>& zone) const
    {
        for (int i = 0; i < peer_count; ++i)
        {
            const auto peer = peer_named(i);
            if (usable(peer) && (!zone || zone_of(peer) == *zone))
            {
                return true;
            }
        }
        return false;
    }

    void make_call()
    {
        const std::size_t number = calls_.size();
        const std::string zone(1, "abcl"[random_below(4)]);
        // The address tells the direct port the number of the call.
        auto worker = harness_.worker(
            "w-" + std::to_string(random_below(worker_count)), zone);
        worker.address = std::to_string(number);
        calls_.emplace_back();
        calls_.back().renewal = random_below(2) == 0;
        // With a peer in its zone it is called in two ways at once, which
        // worker_relay_test covers.
        const bool unresponsive = random_below(10) == 0 && !any_usable(zone);
        const milliseconds wait(random_below(400));
        const std::size_t sent_before = harness_.sent_calls.size();
        milliseconds limit = worker_relay::order_timeout;
        if (calls_.back().renewal)
        {
            lease_renewal renewal;
            renewal.wait = wait;
            renewal.unresponsive = unresponsive;
            limit = wait + worker_relay::renewal_slack;
            harness_.port.renew(
                worker, renewal,
                [this, number](const renewal_result& result)
                { calls_[number].delivered.push_back(result.outcome); });
        }
        else
        {
            order(worker, number);
        }
        const bool sent = harness_.sent_calls.size() > sent_before;
        modelled_call& modelled = calls_[number];
        if (sent)
        {
            const auto& last = harness_.sent_calls.back();
            CPPUNIT_ASSERT_EQUAL(sent_before + 1, harness_.sent_calls.size());
            CPPUNIT_ASSERT(!(modelled.renewal && unresponsive));
            CPPUNIT_ASSERT(usable(last.peer));
            CPPUNIT_ASSERT(zone_of(last.peer) == zone || !any_usable(zone));
            CPPUNIT_ASSERT(zone_of(last.peer) == zone || zone != "l");
            modelled.state = call_state::at_peer;
            modelled.peer = last.peer;
            modelled.deadline = harness_.clock.now() + limit;
            numbers_.push_back(number);
            return;
        }
        // If a peer was usable, sending to it failed.
        CPPUNIT_ASSERT(!harness_.unreachable.empty() ||
                       !any_usable(std::nullopt) ||
                       (((modelled.renewal && unresponsive) || zone == "l") &&
                        !any_usable(zone)));
        pending_direct_.push_back(number);
    }

    void order(const fleet::worker_listing& worker, std::size_t number)
    {
        const auto done = [this, number](order_outcome outcome)
        {
            calls_[number].delivered.push_back(outcome);
        };
        switch (random_below(3))
        {
        case 0:
            calls_[number].start = true;
            harness_.port.start(worker, 1, {worker.worker, {}, 1, "", "", ""},
                                milliseconds(1),
                                harness_.clock.now() + milliseconds(600),
                                [done](const fleet::start_result& result)
                                { done(result.outcome); });
            break;
        case 1:
            harness_.port.stop(worker, 1, {worker.worker, {}, 1}, done);
            break;
        default:
            harness_.port.pace(worker, 1, {worker.worker, {}, 1, 50}, done);
        }
    }

    // Answers a call sent to a peer, even one that has already ended.
    void answer_sent()
    {
        if (harness_.sent_calls.empty())
        {
            return;
        }
        const std::size_t i = random_below(harness_.sent_calls.size());
        const auto outcome = static_cast<order_outcome>(random_below(
            static_cast<std::uint64_t>(order_outcome::unknown) + 1));
        auto message = harness_.answer_to(harness_.sent_calls[i], outcome);
        message.taken = random_below(5) != 0;
        modelled_call& call = calls_[numbers_[i]];
        if (call.state == call_state::at_peer)
        {
            const bool enough =
                message.taken &&
                !(call.renewal && (outcome == order_outcome::unknown ||
                                   outcome == order_outcome::unhealthy ||
                                   outcome == order_outcome::late));
            if (enough)
            {
                call.state = call_state::ended;
                call.expected = outcome;
                ++ended_at_peer;
            }
            else
            {
                make_directly(numbers_[i], message.taken);
            }
        }
        harness_.relay.on_answer(message);
    }

    void make_directly(std::size_t number, bool maybe_duplicate)
    {
        calls_[number].state = call_state::direct;
        calls_[number].maybe_duplicate = maybe_duplicate;
        pending_direct_.push_back(number);
        ++moved_to_direct;
    }

    void lose_link(const base::daemon_id& peer)
    {
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (calls_[i].state == call_state::at_peer &&
                calls_[i].peer == peer)
            {
                make_directly(i, true);
            }
        }
        peers_.erase(peer);
        harness_.relay.on_link_lost(peer);
    }

    void set_stopping(const base::daemon_id& peer, bool value)
    {
        const auto found = peers_.find(peer);
        if (found != peers_.end())
        {
            found->second.stopping = value;
        }
        harness_.relay.on_stopping(peer, value);
    }

    void set_unreachable(const base::daemon_id& peer, bool value)
    {
        if (value)
        {
            harness_.unreachable.insert(peer);
            return;
        }
        harness_.unreachable.erase(peer);
    }

    void expire()
    {
        const base::time_point now = harness_.clock.now();
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (calls_[i].state != call_state::at_peer ||
                now < calls_[i].deadline)
            {
                continue;
            }
            const auto peer = peers_.find(calls_[i].peer);
            CPPUNIT_ASSERT(peer != peers_.end());
            if (peer->second.backed_off_until <= now)
            {
                peer->second.backed_off_until =
                    now + worker_relay::peer_backoff;
            }
            make_directly(i, true);
        }
        harness_.relay.expire();
    }

    // The worker answers a call made directly.
    void finish_direct()
    {
        if (pending_direct_.empty())
        {
            return;
        }
        const std::size_t i = random_below(pending_direct_.size());
        const std::size_t number = pending_direct_[i];
        pending_direct_.erase(pending_direct_.begin() +
                              static_cast<std::ptrdiff_t>(i));
        const auto outcome = static_cast<order_outcome>(random_below(
            static_cast<std::uint64_t>(order_outcome::unknown) + 1));
        for (const auto& direct : harness_.direct_calls)
        {
            if (direct.worker.address == std::to_string(number))
            {
                calls_[number].state = call_state::ended;
                calls_[number].expected = expected(calls_[number], outcome);
                direct.finish(outcome);
                return;
            }
        }
        CPPUNIT_FAIL("call was not made directly");
    }

    // A refused repetition of a start does not tell the outcome of the first.
    static order_outcome expected(const modelled_call& call,
                                  order_outcome outcome)
    {
        const bool certain = outcome == order_outcome::carried_out ||
                             outcome == order_outcome::fenced ||
                             outcome == order_outcome::other_worker;
        return call.start && call.maybe_duplicate && !certain
                   ? order_outcome::unknown
                   : outcome;
    }

    // Compares each call's state and outcome with the model.
    void compare()
    {
        for (; counted_ < harness_.direct_calls.size(); ++counted_)
        {
            ++calls_[std::stoul(harness_.direct_calls[counted_].worker.address)]
                  .direct_count;
        }
        bool waiting = false;
        for (const modelled_call& call : calls_)
        {
            waiting = waiting || call.state == call_state::at_peer;
            CPPUNIT_ASSERT(call.direct_count <= 1);
            CPPUNIT_ASSERT(call.state != call_state::direct ||
                           call.direct_count == 1);
            CPPUNIT_ASSERT(call.state != call_state::at_peer ||
                           call.direct_count == 0);
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{call.state == call_state::ended ? 1U : 0U},
                call.delivered.size());
            CPPUNIT_ASSERT(call.delivered.empty() ||
                           call.delivered.front() == call.expected);
        }
        CPPUNIT_ASSERT_EQUAL(waiting, harness_.relay.has_pending_calls());
    }

    std::mt19937_64 random_;
    worker_relay_harness harness_;
    std::map<base::daemon_id, modelled_peer> peers_;
    std::vector<modelled_call> calls_;
    // The call of each message in harness_.sent_calls.
    std::vector<std::size_t> numbers_;
    // The calls pending on the direct port.
    std::vector<std::size_t> pending_direct_;
    // The number of calls on the direct port that have been counted.
    std::size_t counted_ = 0;
};

} // namespace

class worker_relay_sequence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_relay_sequence_test);
    CPPUNIT_TEST(random_sequences_end_each_call_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_sequences_end_each_call_once()
    {
        constexpr std::uint64_t sequences = 100;
        constexpr int steps = 300;
        int ended_at_peer = 0;
        int moved_to_direct = 0;
        for (std::uint64_t seed = 1; seed <= sequences; ++seed)
        {
            compared_relay compared(seed);
            try
            {
                for (int i = 0; i < steps; ++i)
                {
                    compared.step();
                }
                compared.finish();
            }
            catch (CppUnit::Exception& e)
            {
                e.setMessage(CppUnit::Message(e.message().shortDescription(),
                                              e.message().details() + "seed " +
                                                  std::to_string(seed)));
                throw;
            }
            ended_at_peer += compared.ended_at_peer;
            moved_to_direct += compared.moved_to_direct;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended_at_peer),
                               ended_at_peer > 500);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved_to_direct),
                               moved_to_direct > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_sequence_test);

} // namespace coltsfootrack::cell
