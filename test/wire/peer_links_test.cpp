// Tests of peer_links on loopback: delivery, reconnection after lost
// connections and restarts, bounded queues, and peers that violate the
// protocol.

#include "raw_socket.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>
#include <coltsfootrack/wire/peer_links.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace coltsfootrack::wire
{
namespace
{

const base::system_clock real_clock;

// The peer_links of one daemon, whose callbacks it records.
class node
{
public:
    explicit node(const std::string& name, std::uint64_t incarnation = 1,
                  std::uint16_t port = 0, std::size_t queue = 1024,
                  std::chrono::milliseconds idle = std::chrono::seconds(20),
                  bool accepts_compression = false)
        : id(name)
    {
        peer_links_options options;
        options.self = {id, incarnation, base::zone_id("a1"),
                        accepts_compression};
        options.listen_port = port;
        options.compress = true;
        options.max_queued_messages = queue;
        options.min_backoff = std::chrono::milliseconds(10);
        options.max_backoff = std::chrono::milliseconds(50);
        options.hello_timeout = std::chrono::seconds(1);
        options.idle_timeout = idle;
        peer_events events;
        events.on_message =
            [this](const base::daemon_id& from, const message& value)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            messages_[from].push_back(value);
        };
        events.on_up = [this](const hello& first)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++ups_;
            last_up_ = first;
        };
        events.on_down = [this](const base::daemon_id&)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ++downs_;
        };
        auto started = peer_links::start(
            options, real_clock, base::seeded_random(incarnation), events);
        CPPUNIT_ASSERT_MESSAGE(started.status().ToString(), started.ok());
        links = *std::move(started);
    }

    peer_address address() const
    {
        return {id, base::zone_id("a1"), "127.0.0.1", links->port()};
    }

    std::vector<message> messages(const base::daemon_id& from)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return messages_[from];
    }

    int ups()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return ups_;
    }

    int downs()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return downs_;
    }

    hello last_up()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_up_;
    }

    base::daemon_id id;

private:
    std::mutex mutex_;
    std::map<base::daemon_id, std::vector<message>> messages_;
    int ups_ = 0;
    int downs_ = 0;
    hello last_up_;

public:
    // Declared last, so that its thread ends before the records are destroyed.
    std::unique_ptr<peer_links> links;
};

// Waits up to 10 s for the condition and returns whether it holds.
bool eventually(const std::function<bool()>& condition)
{
    for (int i = 0; i < 2000; ++i)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

std::string frame_of(const message& value)
{
    return *encode_frame(encode(value));
}

} // namespace

class peer_links_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_links_test);
    CPPUNIT_TEST(send_connected_peer_delivers_in_order);
    CPPUNIT_TEST(broadcast_three_nodes_reaches_all_others);
    CPPUNIT_TEST(send_unknown_or_unconnected_peer_refused);
    CPPUNIT_TEST(restart_of_peer_reported_and_reconnected);
    CPPUNIT_TEST(removed_peer_disconnected);
    CPPUNIT_TEST(full_queue_drops_oldest_heartbeat_only);
    CPPUNIT_TEST(lost_connection_reconnects);
    CPPUNIT_TEST(silent_peer_reported_down);
    CPPUNIT_TEST(peer_without_process_is_reached_and_silent_one_is_not);
    CPPUNIT_TEST(faulty_incoming_connection_closed_and_others_served);
    CPPUNIT_TEST(frame_cut_off_by_its_connection_is_counted);
    CPPUNIT_TEST(start_bad_settings_refused);
    CPPUNIT_TEST(traffic_counts_match_on_both_sides);
    CPPUNIT_TEST(frames_are_compressed_only_for_peer_that_accepts);
    CPPUNIT_TEST_SUITE_END();

    static void connect(node& a, node& b)
    {
        CPPUNIT_ASSERT(a.links->set_peers({a.address(), b.address()}).ok());
        CPPUNIT_ASSERT(b.links->set_peers({a.address(), b.address()}).ok());
        CPPUNIT_ASSERT(
            eventually([&] { return a.ups() == 1 && b.ups() == 1; }));
    }

public:
    void send_connected_peer_delivers_in_order()
    {
        node a("a");
        node b("b");
        connect(a, b);
        CPPUNIT_ASSERT(a.last_up().daemon == b.id);
        std::vector<message> sent;
        for (std::uint64_t i = 0; i < 500; ++i)
        {
            sent.emplace_back(config_notice{i});
            CPPUNIT_ASSERT(a.links->send(b.id, sent.back()));
        }
        CPPUNIT_ASSERT(
            eventually([&] { return b.messages(a.id).size() == sent.size(); }));
        CPPUNIT_ASSERT(b.messages(a.id) == sent);
        CPPUNIT_ASSERT(a.messages(b.id).empty());
    }

    void broadcast_three_nodes_reaches_all_others()
    {
        node a("a");
        node b("b");
        node c("c");
        for (node* each : {&a, &b, &c})
        {
            CPPUNIT_ASSERT(
                each->links->set_peers({a.address(), b.address(), c.address()})
                    .ok());
        }
        CPPUNIT_ASSERT(eventually([&] { return a.ups() == 2; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             a.links->broadcast(freshness_query{7}));
        CPPUNIT_ASSERT(eventually(
            [&] {
                return b.messages(a.id).size() == 1 &&
                       c.messages(a.id).size() == 1;
            }));
        CPPUNIT_ASSERT(a.links->connected() ==
                       (std::vector<base::daemon_id>{b.id, c.id}));
    }

    // Guards against stale messages that are delivered after a reconnection.
    void send_unknown_or_unconnected_peer_refused()
    {
        node a("a");
        CPPUNIT_ASSERT(!a.links->send(base::daemon_id("b"), heartbeat{}));
        CPPUNIT_ASSERT(a.links
                           ->set_peers({{base::daemon_id("b"),
                                         base::zone_id("a1"), "127.0.0.1", 1}})
                           .ok());
        // Long enough to apply the list and to have the connection refused.
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(!a.links->send(base::daemon_id("b"), heartbeat{}));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(21), a.links->traffic().refused);
    }

    void restart_of_peer_reported_and_reconnected()
    {
        node a("a");
        auto b = std::make_unique<node>("b", 1);
        connect(a, *b);
        const std::uint16_t port = b->links->port();
        for (std::uint64_t incarnation = 2; incarnation < 5; ++incarnation)
        {
            b.reset();
            const int round = static_cast<int>(incarnation);
            CPPUNIT_ASSERT(eventually([&] { return a.downs() == round - 1; }));
            CPPUNIT_ASSERT(a.links->connected().empty());
            b = std::make_unique<node>("b", incarnation, port);
            CPPUNIT_ASSERT(b->links->set_peers({a.address()}).ok());
            CPPUNIT_ASSERT(eventually([&] { return a.ups() == round; }));
            CPPUNIT_ASSERT_EQUAL(incarnation, a.last_up().incarnation);
            CPPUNIT_ASSERT(eventually([&] { return b->ups() == 1; }));
            CPPUNIT_ASSERT(a.links->send(b->id, config_notice{incarnation}));
            CPPUNIT_ASSERT(
                eventually([&] { return b->messages(a.id).size() == 1; }));
        }
    }

    void removed_peer_disconnected()
    {
        node a("a");
        node b("b");
        connect(a, b);
        CPPUNIT_ASSERT(a.links->set_peers({}).ok());
        CPPUNIT_ASSERT(
            eventually([&] { return a.downs() == 1 && b.downs() == 1; }));
        CPPUNIT_ASSERT(!a.links->send(b.id, heartbeat{}));
        // b reconnects and a refuses its hello.
        CPPUNIT_ASSERT(
            eventually([&] { return a.links->traffic().unknown_peers > 0; }));
        CPPUNIT_ASSERT_EQUAL(1, b.ups());
    }

    // Guards against a queue that grows without limit while a peer does not
    // read, and against the loss of messages other than heartbeats.
    void full_queue_drops_oldest_heartbeat_only()
    {
        raw_socket slow;
        const std::uint16_t port = slow.listen_on_loopback();
        node a("a", 1, 0, 16);
        const base::daemon_id b("b");
        CPPUNIT_ASSERT(
            a.links->set_peers({{b, base::zone_id("a1"), "127.0.0.1", port}})
                .ok());
        const raw_socket connection(slow.accept_one());
        const std::string hello_frame = connection.receive();
        CPPUNIT_ASSERT(!hello_frame.empty());
        // Fills the socket buffers until three reports stay queued.
        const usage_report filler{
            base::zone_id("a1"),
            1,
            {{base::team_id(std::string(200000, 't')), {}}}};
        const auto reports_sent = [&]
        {
            return a.links->traffic()
                .sent[std::size_t(message_type::usage_report)]
                .messages;
        };
        std::uint64_t reports = 0;
        while (reports < reports_sent() + 3)
        {
            CPPUNIT_ASSERT(a.links->send(b, filler));
            ++reports;
            if (reports >= reports_sent() + 3)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
            }
        }
        // The queue takes only 13 heartbeats, and a notice replaces one of
        // them.
        for (std::uint64_t i = 0; i < 30; ++i)
        {
            CPPUNIT_ASSERT(a.links->send(b, heartbeat{i, {}, 0, 0, false, 0}));
        }
        CPPUNIT_ASSERT(a.links->send(b, config_notice{1}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(18),
                             a.links->traffic().heartbeats_dropped);
        for (std::uint64_t i = 0; i < 12; ++i)
        {
            CPPUNIT_ASSERT(a.links->send(b, config_notice{2 + i}));
        }
        // No heartbeat is left to drop.
        CPPUNIT_ASSERT(!a.links->send(b, config_notice{14}));
        CPPUNIT_ASSERT(!a.links->send(b, heartbeat{}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30),
                             a.links->traffic().heartbeats_dropped);
        frame_decoder decoder;
        std::uint64_t reports_read = 0;
        std::uint64_t notices_read = 0;
        while (notices_read < 13)
        {
            const std::string bytes = connection.receive();
            CPPUNIT_ASSERT(!bytes.empty());
            decoder.append(bytes);
            for (auto frame = decoder.next(); frame.ok() && *frame;
                 frame = decoder.next())
            {
                const message value = *decode(**frame);
                if (const auto* notice = std::get_if<config_notice>(&value))
                {
                    CPPUNIT_ASSERT_EQUAL(++notices_read, notice->sequence);
                    continue;
                }
                CPPUNIT_ASSERT(value == message(filler));
                ++reports_read;
            }
        }
        CPPUNIT_ASSERT_EQUAL(reports, reports_read);
    }

    // Guards against a link that stays down after its connection was lost.
    void lost_connection_reconnects()
    {
        raw_socket listener;
        const std::uint16_t port = listener.listen_on_loopback();
        node a("a");
        const base::daemon_id b("b");
        CPPUNIT_ASSERT(
            a.links->set_peers({{b, base::zone_id("a1"), "127.0.0.1", port}})
                .ok());
        for (int round = 0; round < 5; ++round)
        {
            const raw_socket connection(listener.accept_one());
            CPPUNIT_ASSERT(!connection.receive().empty());
        }
        CPPUNIT_ASSERT(
            eventually([&] { return a.links->traffic().connects >= 5; }));
        CPPUNIT_ASSERT_EQUAL(0, a.ups());
    }

    // Guards against a paused or unreachable peer that counts as connected.
    void silent_peer_reported_down()
    {
        raw_socket listener;
        const std::uint16_t port = listener.listen_on_loopback();
        node a("a", 1, 0, 1024, std::chrono::milliseconds(300));
        const hello first{base::daemon_id("b"), 1, base::zone_id("a1")};
        CPPUNIT_ASSERT(
            a.links->set_peers({{first.daemon, first.zone, "127.0.0.1", port}})
                .ok());
        const raw_socket accepted(listener.accept_one());
        raw_socket silent;
        CPPUNIT_ASSERT(silent.connect_to(a.links->port()));
        CPPUNIT_ASSERT(silent.send_all(frame_of(first)));
        CPPUNIT_ASSERT(eventually([&] { return a.ups() == 1; }));
        CPPUNIT_ASSERT(eventually([&] { return a.downs() == 1; }));
        CPPUNIT_ASSERT(silent.receive().empty());
        CPPUNIT_ASSERT(a.links->connected().empty());
    }

    // Guards against a leader that takes a peer which is merely not running for
    // one that may lead beyond a cut, or a silent one for one that may not.
    void peer_without_process_is_reached_and_silent_one_is_not()
    {
        raw_socket listener;
        const std::uint16_t silent_port = listener.listen_on_loopback();
        const peer_address silent{base::daemon_id("silent"), base::zone_id("a"),
                                  "127.0.0.1", silent_port};
        peer_address ended;
        {
            const node other("ended");
            ended = other.address();
        }
        const node tested("tested");
        CPPUNIT_ASSERT(tested.links->set_peers({silent, ended}).ok());
        const std::vector<base::daemon_id> expected = {ended.daemon};
        const auto recent = std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(eventually(
            [&] { return tested.links->reached(recent) == expected; }));
        std::this_thread::sleep_for(2 * recent);
        CPPUNIT_ASSERT(tested.links->reached(recent) == expected);
        CPPUNIT_ASSERT(tested.links->connected().empty());
    }

    void faulty_incoming_connection_closed_and_others_served()
    {
        node a("a");
        node b("b");
        connect(a, b);
        const hello unknown_peer{base::daemon_id("x"), 1, base::zone_id("a1")};
        const hello wrong_zone{b.id, 1, base::zone_id("a2")};
        const std::string second_hello =
            frame_of(hello{b.id, 1, base::zone_id("a1")});
        for (const std::string& bytes :
             {std::string(4, '\xff'), std::string("\0\0\0\x04mess", 8),
              frame_of(heartbeat{}), frame_of(unknown_peer),
              frame_of(wrong_zone), std::string("\0\0", 2),
              second_hello + second_hello})
        {
            raw_socket socket;
            CPPUNIT_ASSERT(socket.connect_to(a.links->port()));
            CPPUNIT_ASSERT(socket.send_all(bytes));
            CPPUNIT_ASSERT(socket.receive().empty());
        }
        const auto traffic = a.links->traffic();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), traffic.protocol_errors);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), traffic.unknown_peers);
        // The connection with the second hello replaced the one of b, which
        // must reconnect.
        CPPUNIT_ASSERT(eventually(
            [&]
            {
                b.links->send(a.id, config_notice{3});
                return !a.messages(b.id).empty();
            }));
    }

    // Guards against a full link of which the counted traffic shows nothing.
    void frame_cut_off_by_its_connection_is_counted()
    {
        node a("a");
        const std::string frame =
            frame_of(job_copy{base::job_id("j"), std::string(2000, 'x')});
        {
            raw_socket socket;
            CPPUNIT_ASSERT(socket.connect_to(a.links->port()));
            CPPUNIT_ASSERT(socket.send_all(frame.substr(0, 1500)));
        }
        CPPUNIT_ASSERT(eventually(
            [&] { return a.links->traffic().received_incomplete == 1500; }));
    }

    void start_bad_settings_refused()
    {
        peer_links_options options;
        CPPUNIT_ASSERT(
            !peer_links::start(options, real_clock, base::seeded_random(1), {})
                 .ok());
        options.self = {base::daemon_id("a"), 1, base::zone_id("a1")};
        options.listen_address = "localhost";
        CPPUNIT_ASSERT(
            !peer_links::start(options, real_clock, base::seeded_random(1), {})
                 .ok());
        node a("a");
        const peer_address named{base::daemon_id("b"), base::zone_id("a1"),
                                 "localhost", 1};
        CPPUNIT_ASSERT(!a.links->set_peers({named}).ok());
        CPPUNIT_ASSERT(!a.links->set_peers({a.address(), a.address()}).ok());
    }

    // Guards against compressed frames to a daemon of a former version, and
    // against counts of bytes that the link did not carry.
    void frames_are_compressed_only_for_peer_that_accepts()
    {
        const auto idle = std::chrono::seconds(20);
        node a("a", 1, 0, 1024, idle, true);
        node b("b", 1, 0, 1024, idle, false);
        connect(a, b);
        const job_copy copy{base::job_id("j"), std::string(2000, 'x')};
        const auto type = std::size_t(message_type::job_copy);
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(a.links->send(b.id, copy));
            CPPUNIT_ASSERT(b.links->send(a.id, copy));
        }
        CPPUNIT_ASSERT(eventually(
            [&] {
                return a.messages(b.id).size() == 20 &&
                       b.messages(a.id).size() == 20;
            }));
        CPPUNIT_ASSERT(std::get<job_copy>(a.messages(b.id).back()) == copy);
        const std::uint64_t to_b = b.links->traffic().received[type].bytes;
        const std::uint64_t to_a = a.links->traffic().received[type].bytes;
        CPPUNIT_ASSERT_EQUAL(a.links->traffic().sent[type].bytes, to_b);
        CPPUNIT_ASSERT_EQUAL(b.links->traffic().sent[type].bytes, to_a);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20 * frame_of(copy).size()), to_b);
        CPPUNIT_ASSERT(20 * to_a < to_b);
    }

    void traffic_counts_match_on_both_sides()
    {
        node a("a");
        node b("b");
        connect(a, b);
        const job_notice notice{base::zone_id("a1"), base::job_id("j")};
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(a.links->send(b.id, notice));
        }
        CPPUNIT_ASSERT(
            eventually([&] { return b.messages(a.id).size() == 20; }));
        const auto type = std::size_t(message_type::job_notice);
        const auto sent = a.links->traffic().sent[type];
        const auto received = b.links->traffic().received[type];
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), sent.messages);
        CPPUNIT_ASSERT_EQUAL(sent.messages, received.messages);
        CPPUNIT_ASSERT_EQUAL(sent.bytes, received.bytes);
        CPPUNIT_ASSERT_EQUAL(20 * frame_of(notice).size(),
                             std::size_t(sent.bytes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_links_test);

} // namespace coltsfootrack::wire
