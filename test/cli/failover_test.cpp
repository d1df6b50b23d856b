// Tests of the failover between daemons: a request must reach a daemon that
// can serve it, and must not run twice.

#include "fake_environment.hpp"

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
    CPPUNIT_TEST(call_retryable_failure_is_sent_to_next_daemon);
    CPPUNIT_TEST(call_final_refusal_is_not_retried);
    CPPUNIT_TEST(call_unknown_outcome_is_retried_only_if_idempotent);
    CPPUNIT_TEST(call_unknown_outcome_is_not_hidden);
    CPPUNIT_TEST(call_over_tcp_reaches_the_daemon);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a command that fails because one daemon is down, stale or
    // draining.
    void call_retryable_failure_is_sent_to_next_daemon()
    {
        fake_environment fake;
        fake.answers["10.0.0.2:1"] = fake_environment::answer({{"job", "j"}});
        CPPUNIT_ASSERT_EQUAL(0, fake.run(with_both({"job", "submit", "w"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fake.sent.size());
        CPPUNIT_ASSERT(fake.sent[0].second == fake.sent[1].second);
        for (const error_kind kind :
             {error_kind::config_stale, error_kind::draining,
              error_kind::not_owner, error_kind::fenced,
              error_kind::overloaded})
        {
            fake.answers["10.0.0.1:1"] = fake_environment::refusal(kind);
            CPPUNIT_ASSERT_EQUAL(0,
                                 fake.run(with_both({"job", "submit", "w"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fake.sent.size());
        }
    }

    // Guards against a retry of a request after a final refusal.
    void call_final_refusal_is_not_retried()
    {
        fake_environment fake;
        fake.answers["10.0.0.2:1"] = fake_environment::answer({{"job", "j"}});
        for (const base::error_answer& row : base::error_answers())
        {
            if (row.retryable)
            {
                continue;
            }
            fake.answers["10.0.0.1:1"] = fake_environment::refusal(row.kind);
            CPPUNIT_ASSERT_EQUAL(row.exit_code,
                                 fake.run(with_both({"job", "status", "j"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fake.sent.size());
        }
    }

    // Guards against a job that is submitted twice after a lost answer.
    void call_unknown_outcome_is_retried_only_if_idempotent()
    {
        fake_environment fake;
        fake.answers["10.0.0.2:1"] = fake_environment::answer({{"job", "j"}});
        for (const error_kind kind :
             {error_kind::upstream_timeout, error_kind::upstream_truncated})
        {
            fake.answers["10.0.0.1:1"] =
                fake_environment::no_answer(kind, true);
            CPPUNIT_ASSERT_EQUAL(6,
                                 fake.run(with_both({"job", "submit", "w"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fake.sent.size());
            CPPUNIT_ASSERT(fake.err.str().find("--idempotency-key ") !=
                           std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0,
                                 fake.run(with_both({"job", "cancel", "j"})));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fake.sent.size());
        }
    }

    // Guards against "did not run" for a ticket that the first daemon may have
    // committed.
    void call_unknown_outcome_is_not_hidden()
    {
        fake_environment fake;
        fake.files["t"] =
            R"({"number": 7, "author": "a",
                "objects": [{"type": "queue", "name": "q", "open": true}]})";
        fake.answers["10.0.0.1:1"] =
            fake_environment::no_answer(error_kind::upstream_timeout, true);
        CPPUNIT_ASSERT_EQUAL(6, fake.run(with_both({"ticket", "apply", "t"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fake.sent.size());
        const std::string text = fake.err.str();
        for (const char* part : {"upstream_timeout", "10.0.0.1:1: ",
                                 "10.0.0.2:1: ", "It may or may not have run."})
        {
            CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
        }
    }

    // Guards against a fake environment that differs from the HTTP client.
    void call_over_tcp_reaches_the_daemon()
    {
        std::atomic<int> calls{0};
        auto server = http::server::start(
            http::server_options{},
            [&calls](const http::request& request)
            {
                ++calls;
                return request.path == "/v1/status"
                           ? http::json_response(200, {{"daemon", "e1"}})
                           : http::error_response(base::make_error(
                                 error_kind::not_found, request.path));
            });
        CPPUNIT_ASSERT(server.ok());
        http::client client(http::client_options{});
        fake_environment fake;
        environment env;
        env.send = [&client](const std::string& address,
                             const http::request& request,
                             std::chrono::milliseconds timeout)
        {
            return client.send(address, request, timeout);
        };
        env.variable = [](const std::string&)
        {
            return std::string();
        };
        env.out = &fake.out;
        env.err = &fake.err;
        const std::string address =
            fmt::format("127.0.0.1:{}", (*server)->port());
        CPPUNIT_ASSERT_EQUAL(0, cli::run({"status", "--server", address}, env));
        CPPUNIT_ASSERT_EQUAL(std::string("daemon  e1\n"), fake.out.str());
        CPPUNIT_ASSERT_EQUAL(
            2, cli::run({"job", "status", "j", "--server", address}, env));
        CPPUNIT_ASSERT_EQUAL(2, calls.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failover_test);

} // namespace coltsfootrack::cli
