// Tests of the fail-over between daemons: a request must reach a daemon that
// can serve it, and must not run twice.

#include "fake_world.hpp"

#include <coltsfootrack/http/client.hpp>
#include <coltsfootrack/http/server.hpp>

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace coltsfootrack::cli
{
namespace
{

using base::error_kind;

std::vector<std::string> with_both(std::vector<std::string> words)
{
    words.insert(words.end(),
                 {"--server", "10.0.0.1:1", "--server", "10.0.0.2:1"});
    return words;
}

} // namespace

class failover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failover_test);
    CPPUNIT_TEST(call_next_daemon_serves_after_a_safe_failure);
    CPPUNIT_TEST(call_final_refusal_is_not_repeated);
    CPPUNIT_TEST(call_unknown_outcome_is_repeated_only_if_safe);
    CPPUNIT_TEST(call_unknown_outcome_is_not_hidden);
    CPPUNIT_TEST(call_over_tcp_reaches_the_daemon);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an operator who is stopped by one dead, stale or leaving
    // daemon.
    void call_next_daemon_serves_after_a_safe_failure()
    {
        fake_world world;
        world.answers["10.0.0.2:1"] = fake_world::answer({{"job", "j"}});
        CPPUNIT_ASSERT_EQUAL(0, world.run(with_both({"job", "submit", "w"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.sent.size());
        CPPUNIT_ASSERT(world.sent[0].second == world.sent[1].second);
        for (const error_kind kind :
             {error_kind::config_stale, error_kind::draining,
              error_kind::not_owner, error_kind::fenced,
              error_kind::overloaded})
        {
            world.answers["10.0.0.1:1"] = fake_world::refusal(kind);
            CPPUNIT_ASSERT_EQUAL(0,
                                 world.run(with_both({"job", "submit", "w"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.sent.size());
        }
    }

    // Guards against a refused request that is sent around.
    void call_final_refusal_is_not_repeated()
    {
        fake_world world;
        world.answers["10.0.0.2:1"] = fake_world::answer({{"job", "j"}});
        for (const base::error_answer& row : base::error_answers())
        {
            if (row.retryable)
            {
                continue;
            }
            world.answers["10.0.0.1:1"] = fake_world::refusal(row.kind);
            CPPUNIT_ASSERT_EQUAL(row.exit_code,
                                 world.run(with_both({"job", "status", "j"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent.size());
        }
    }

    // Guards against a job that is submitted twice after a lost answer.
    void call_unknown_outcome_is_repeated_only_if_safe()
    {
        fake_world world;
        world.answers["10.0.0.2:1"] = fake_world::answer({{"job", "j"}});
        for (const error_kind kind :
             {error_kind::upstream_timeout, error_kind::upstream_truncated})
        {
            world.answers["10.0.0.1:1"] = fake_world::no_answer(kind, true);
            CPPUNIT_ASSERT_EQUAL(6,
                                 world.run(with_both({"job", "submit", "w"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent.size());
            CPPUNIT_ASSERT(world.err.str().find("--idempotency-key ") !=
                           std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0,
                                 world.run(with_both({"job", "cancel", "j"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.sent.size());
        }
    }

    // Guards against "did not run" for a ticket that the first daemon may have
    // committed.
    void call_unknown_outcome_is_not_hidden()
    {
        fake_world world;
        world.files["t"] =
            R"({"number": 7, "author": "a",
                "objects": [{"type": "queue", "name": "q", "open": true}]})";
        world.answers["10.0.0.1:1"] =
            fake_world::no_answer(error_kind::upstream_timeout, true);
        CPPUNIT_ASSERT_EQUAL(6, world.run(with_both({"ticket", "apply", "t"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.sent.size());
        const std::string text = world.err.str();
        for (const char* part : {"upstream_timeout", "10.0.0.1:1: ",
                                 "10.0.0.2:1: ", "It may or may not have run."})
        {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
        }
    }

    // Guards against an interface that fits the fake but not the http part.
    void call_over_tcp_reaches_the_daemon()
    {
        std::atomic<int> calls{0};
        auto server = http::server::start(
            http::server_options{},
            [&calls](const http::request& message)
            {
                ++calls;
                return message.path == "/v1/status"
                           ? http::json_response(200, {{"daemon", "e1"}})
                           : http::error_response(base::make_error(
                                 error_kind::not_found, message.path));
            });
        CPPUNIT_ASSERT(server.ok());
        http::client client(http::client_options{});
        fake_world world;
        environment outside;
        outside.send = [&client](const std::string& address,
                                 const http::request& message,
                                 std::chrono::milliseconds timeout)
        {
            return client.send(address, message, timeout);
        };
        outside.variable = [](const std::string&)
        {
            return std::string();
        };
        outside.out = &world.out;
        outside.err = &world.err;
        const std::string address =
            fmt::format("127.0.0.1:{}", (*server)->port());
        CPPUNIT_ASSERT_EQUAL(
            0, cli::run({"status", "--server", address}, outside));
        CPPUNIT_ASSERT_EQUAL(std::string("daemon  e1\n"), world.out.str());
        CPPUNIT_ASSERT_EQUAL(
            2, cli::run({"job", "status", "j", "--server", address}, outside));
        CPPUNIT_ASSERT_EQUAL(2, calls.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failover_test);

} // namespace coltsfootrack::cli
