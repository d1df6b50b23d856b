// Compares the relay with a simple model over random sequences of calls,
// answers, losses and expiries. Guards against calls that end twice or never,
// or that go to a peer which must not get them.

#include "worker_relay_world.hpp"

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

// Where a call is, by the rules of the relay.
enum class place
{
    at_peer,
    direct,
    ended
};

struct modelled_call
{
    place at = place::direct;
    bool renewal = false;
    bool start = false;
    // A peer may have made it before it was made directly.
    bool repeated = false;
    // While it is at a peer.
    base::daemon_id peer;
    base::time_point deadline;
    // Once it has ended.
    order_outcome expected = order_outcome::unknown;
    // What the relay has given to the caller.
    std::vector<order_outcome> given;
    // The times that the relay has made it directly.
    int made = 0;
};

struct modelled_peer
{
    bool stopping = false;
    base::time_point paused_until;
};

// The relay and its model side by side.
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
        switch (any(12))
        {
        case 0:
            world_.link(peer.text(), zone_of(peer));
            peers_[peer] = {};
            break;
        case 1:
            lose(peer);
            break;
        case 2:
            stopping(peer, any(2) == 0);
            break;
        case 3:
            refuse(peer, any(3) == 0);
            break;
        case 4:
            world_.clock.advance(milliseconds(any(700)));
            break;
        case 5:
            expire();
            break;
        case 6:
        case 7:
            answer();
            break;
        case 8:
            finish_direct();
            break;
        default:
            call();
        }
        compare();
    }

    // Ends what is open, and checks that each call has had one outcome.
    void end()
    {
        for (int i = 0; i < peer_count; ++i)
        {
            lose(peer_named(i));
        }
        while (!open_.empty())
        {
            finish_direct();
        }
        compare();
        CPPUNIT_ASSERT(!world_.relay.has_pending_calls());
        for (const modelled_call& call : calls_)
        {
            CPPUNIT_ASSERT(call.at == place::ended);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, call.given.size());
        }
    }

    // The calls that ended at a peer, and those made directly after a peer had
    // them, to show that both occur.
    int ended_at_peer = 0;
    int moved = 0;

private:
    std::uint64_t any(std::uint64_t below)
    {
        return random_() % below;
    }

    static base::daemon_id peer_named(int i)
    {
        return base::daemon_id((i % 2 == 0 ? "a-" : "b-") + std::to_string(i));
    }

    base::daemon_id any_peer()
    {
        return peer_named(static_cast<int>(any(peer_count)));
    }

    static std::string zone_of(const base::daemon_id& peer)
    {
        return peer.text().substr(0, 1);
    }

    // Whether the peer may get calls.
    bool open(const base::daemon_id& peer) const
    {
        const auto found = peers_.find(peer);
        return found != peers_.end() && !found->second.stopping &&
               found->second.paused_until <= world_.clock.now();
    }

    bool any_open(const std::optional<std::string>& zone) const
    {
        for (int i = 0; i < peer_count; ++i)
        {
            const auto peer = peer_named(i);
            if (open(peer) && (!zone || zone_of(peer) == *zone))
            {
                return true;
            }
        }
        return false;
    }

    void call()
    {
        const std::size_t number = calls_.size();
        const std::string zone(1, "abcl"[any(4)]);
        // The address carries the number of the call to the direct port.
        auto worker =
            world_.worker("w-" + std::to_string(any(worker_count)), zone);
        worker.address = std::to_string(number);
        calls_.emplace_back();
        calls_.back().renewal = any(2) == 0;
        const bool direct = any(10) == 0;
        const milliseconds wait(any(400));
        const std::size_t sent_before = world_.sent.size();
        milliseconds limit = worker_relay::order_timeout;
        if (calls_.back().renewal)
        {
            lease_renewal renewal;
            renewal.wait = wait;
            renewal.direct = direct;
            limit = wait + worker_relay::renewal_slack;
            world_.port.renew(
                worker, renewal,
                [this, number](const renewal_result& result)
                { calls_[number].given.push_back(result.outcome); });
        }
        else
        {
            order(worker, number);
        }
        const bool sent = world_.sent.size() > sent_before;
        modelled_call& made = calls_[number];
        if (sent)
        {
            const auto& last = world_.sent.back();
            CPPUNIT_ASSERT_EQUAL(sent_before + 1, world_.sent.size());
            CPPUNIT_ASSERT(!(made.renewal && direct));
            CPPUNIT_ASSERT(open(last.peer));
            CPPUNIT_ASSERT(zone_of(last.peer) == zone || !any_open(zone));
            CPPUNIT_ASSERT(zone_of(last.peer) == zone || zone != "l");
            made.at = place::at_peer;
            made.peer = last.peer;
            made.deadline = world_.clock.now() + limit;
            numbers_.push_back(number);
            return;
        }
        // A call that could have been sent was refused by its peer.
        CPPUNIT_ASSERT((made.renewal && direct) || !world_.refusing.empty() ||
                       !any_open(std::nullopt) ||
                       (zone == "l" && !any_open(zone)));
        open_.push_back(number);
    }

    void order(const fleet::worker_listing& worker, std::size_t number)
    {
        const auto done = [this, number](order_outcome outcome)
        {
            calls_[number].given.push_back(outcome);
        };
        switch (any(3))
        {
        case 0:
            calls_[number].start = true;
            world_.port.start(worker, 1, {worker.worker, {}, 1, "", "", ""},
                              milliseconds(1), done);
            break;
        case 1:
            world_.port.stop(worker, 1, {worker.worker, {}, 1}, done);
            break;
        default:
            world_.port.pace(worker, 1, {worker.worker, {}, 1, 50}, done);
        }
    }

    // Answers a call that was sent, perhaps one that has ended.
    void answer()
    {
        if (world_.sent.empty())
        {
            return;
        }
        const std::size_t i = any(world_.sent.size());
        const auto outcome = static_cast<order_outcome>(
            any(static_cast<std::uint64_t>(order_outcome::unknown) + 1));
        auto message = world_.answer_to(world_.sent[i], outcome);
        message.taken = any(5) != 0;
        modelled_call& call = calls_[numbers_[i]];
        if (call.at == place::at_peer)
        {
            const bool enough =
                message.taken &&
                !(call.renewal && (outcome == order_outcome::unknown ||
                                   outcome == order_outcome::unhealthy));
            if (enough)
            {
                call.at = place::ended;
                call.expected = outcome;
                ++ended_at_peer;
            }
            else
            {
                move(numbers_[i], message.taken);
            }
        }
        world_.relay.on_answer(message);
    }

    void move(std::size_t number, bool repeated)
    {
        calls_[number].at = place::direct;
        calls_[number].repeated = repeated;
        open_.push_back(number);
        ++moved;
    }

    void lose(const base::daemon_id& peer)
    {
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (calls_[i].at == place::at_peer && calls_[i].peer == peer)
            {
                move(i, true);
            }
        }
        peers_.erase(peer);
        world_.relay.on_link_lost(peer);
    }

    void stopping(const base::daemon_id& peer, bool value)
    {
        const auto found = peers_.find(peer);
        if (found != peers_.end())
        {
            found->second.stopping = value;
        }
        world_.relay.on_stopping(peer, value);
    }

    void refuse(const base::daemon_id& peer, bool value)
    {
        if (value)
        {
            world_.refusing.insert(peer);
            return;
        }
        world_.refusing.erase(peer);
    }

    void expire()
    {
        const base::time_point now = world_.clock.now();
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (calls_[i].at != place::at_peer || now < calls_[i].deadline)
            {
                continue;
            }
            const auto peer = peers_.find(calls_[i].peer);
            CPPUNIT_ASSERT(peer != peers_.end());
            if (peer->second.paused_until <= now)
            {
                peer->second.paused_until = now + worker_relay::peer_back_off;
            }
            move(i, true);
        }
        world_.relay.expire();
    }

    // The worker answers a call that the leader made itself.
    void finish_direct()
    {
        if (open_.empty())
        {
            return;
        }
        const std::size_t i = any(open_.size());
        const std::size_t number = open_[i];
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i));
        const auto outcome = static_cast<order_outcome>(
            any(static_cast<std::uint64_t>(order_outcome::unknown) + 1));
        for (const auto& made : world_.made)
        {
            if (made.worker.address == std::to_string(number))
            {
                calls_[number].at = place::ended;
                calls_[number].expected = expected(calls_[number], outcome);
                made.finish(outcome);
                return;
            }
        }
        CPPUNIT_FAIL("call was not made directly");
    }

    // What a refusal of a second start says of the first is not known.
    static order_outcome expected(const modelled_call& call,
                                  order_outcome outcome)
    {
        const bool certain = outcome == order_outcome::carried_out ||
                             outcome == order_outcome::fenced ||
                             outcome == order_outcome::other_worker;
        return call.start && call.repeated && !certain ? order_outcome::unknown
                                                       : outcome;
    }

    // Compares each call's place and outcome with the model.
    void compare()
    {
        for (; seen_ < world_.made.size(); ++seen_)
        {
            ++calls_[std::stoul(world_.made[seen_].worker.address)].made;
        }
        bool waiting = false;
        for (const modelled_call& call : calls_)
        {
            waiting = waiting || call.at == place::at_peer;
            CPPUNIT_ASSERT(call.made <= 1);
            CPPUNIT_ASSERT(call.at != place::direct || call.made == 1);
            CPPUNIT_ASSERT(call.at != place::at_peer || call.made == 0);
            CPPUNIT_ASSERT_EQUAL(std::size_t{call.at == place::ended ? 1U : 0U},
                                 call.given.size());
            CPPUNIT_ASSERT(call.given.empty() ||
                           call.given.front() == call.expected);
        }
        CPPUNIT_ASSERT_EQUAL(waiting, world_.relay.has_pending_calls());
    }

    std::mt19937_64 random_;
    worker_relay_world world_;
    std::map<base::daemon_id, modelled_peer> peers_;
    std::vector<modelled_call> calls_;
    // The call of each message in world_.sent.
    std::vector<std::size_t> numbers_;
    // The calls that are being made directly.
    std::vector<std::size_t> open_;
    // The calls to the direct port that are counted.
    std::size_t seen_ = 0;
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
        int moved = 0;
        for (std::uint64_t seed = 1; seed <= sequences; ++seed)
        {
            compared_relay both(seed);
            try
            {
                for (int i = 0; i < steps; ++i)
                {
                    both.step();
                }
                both.end();
            }
            catch (CppUnit::Exception& e)
            {
                e.setMessage(CppUnit::Message(e.message().shortDescription(),
                                              e.message().details() + "seed " +
                                                  std::to_string(seed)));
                throw;
            }
            ended_at_peer += both.ended_at_peer;
            moved += both.moved;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ended_at_peer),
                               ended_at_peer > 500);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved > 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_sequence_test);

} // namespace coltsfootrack::cell
