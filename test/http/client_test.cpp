// Tests of the client with answers that are late, truncated or lost.

#include "raw_server.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/client.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

namespace coltsfootrack::http
{
namespace
{

const std::string full_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Attempt-Id: a7\r\n\r\nhello";

request post(std::string body = "work")
{
    request message;
    message.method = "POST";
    message.path = "/run";
    message.body = std::move(body);
    return message;
}

client_options short_timeouts()
{
    client_options options;
    options.total_timeout = std::chrono::milliseconds(150);
    return options;
}

} // namespace

class client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_test);
    CPPUNIT_TEST(send_complete_answer_is_returned_on_one_connection);
    CPPUNIT_TEST(send_refused_connection_reports_nothing_sent);
    CPPUNIT_TEST(send_unanswered_connect_reports_nothing_sent);
    CPPUNIT_TEST(send_connection_lost_at_any_point_is_never_complete);
    CPPUNIT_TEST(send_answer_without_length_is_truncated);
    CPPUNIT_TEST(send_slow_answer_times_out_as_sent);
    CPPUNIT_TEST(send_silent_listener_is_timeout_as_sent);
    CPPUNIT_TEST(send_too_large_answer_is_truncated);
    CPPUNIT_TEST(send_lost_reused_connection_is_not_retried);
    CPPUNIT_TEST(send_excess_answer_is_not_delivered_to_next_request);
    CPPUNIT_TEST(send_redirect_is_returned_not_followed);
    CPPUNIT_TEST(send_malformed_request_is_refused);
    CPPUNIT_TEST(send_adds_few_headers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a client that opens a connection per call.
    void send_complete_answer_is_returned_on_one_connection()
    {
        raw_server server(
            [](int connection, int)
            {
                while (!raw_server::read_header(connection).empty())
                {
                    raw_server::write(connection, full_answer);
                }
            });
        {
            client http{client_options{}};
            request message;
            for (int i = 0; i < 5; ++i)
            {
                const client_result result =
                    http.send(server.address(), message);
                CPPUNIT_ASSERT(result.ok());
                CPPUNIT_ASSERT(result.complete);
                CPPUNIT_ASSERT(result.request_sent);
                CPPUNIT_ASSERT_EQUAL(200, result.answer.status);
                CPPUNIT_ASSERT_EQUAL(std::string("hello"), result.answer.body);
                CPPUNIT_ASSERT(result.answer.headers.value("x-attempt-id") ==
                               "a7");
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
    }

    // Guards against "did not run" being claimed or withheld wrongly.
    void send_refused_connection_reports_nothing_sent()
    {
        std::string address;
        {
            raw_server closed([](int, int) {});
            address = closed.address();
        }
        client http{client_options{}};
        const client_result result = http.send(address, post());
        CPPUNIT_ASSERT(!result.request_sent);
        CPPUNIT_ASSERT(!result.complete);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_unreachable);
    }

    // Guards against "unknown" for a request to a partitioned VM: no connection
    // was made, so it did not run.
    void send_unanswered_connect_reports_nothing_sent()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(listener, generic, size));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 0));
        ::getsockname(listener, generic, &size);
        // A full backlog makes the kernel drop further connection requests.
        std::vector<int> fillers;
        for (int i = 0; i < 4; ++i)
        {
            fillers.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(::connect(fillers.back(), generic, size));
        }
        client_options options;
        options.connect_timeout = std::chrono::milliseconds(100);
        client http(options);
        const client_result result = http.send(
            "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), post());
        for (const int filler : fillers)
        {
            ::close(filler);
        }
        ::close(listener);
        CPPUNIT_ASSERT(!result.request_sent);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_unreachable);
    }

    // Guards against a partial answer being forwarded as complete (invariant
    // 5), and against "nothing sent" after the upstream has read the request
    // (invariant 6).
    void send_connection_lost_at_any_point_is_never_complete()
    {
        const bool held = rc::check(
            "lost connection",
            [](bool reset)
            {
                const auto sent =
                    *rc::gen::inRange<std::size_t>(0, full_answer.size());
                raw_server server(
                    [sent, reset](int connection, int)
                    {
                        raw_server::read_header(connection);
                        raw_server::write(connection,
                                          full_answer.substr(0, sent));
                        if (reset)
                        {
                            raw_server::reset_on_close(connection);
                        }
                    });
                client http{client_options{}};
                const client_result result =
                    http.send(server.address(), post());
                RC_ASSERT(result.request_sent);
                RC_ASSERT(!result.complete);
                RC_ASSERT(base::kind_of(result.status) ==
                          base::error_kind::upstream_truncated);
                RC_ASSERT(server.accepted() == 1);
            });
        CPPUNIT_ASSERT(held);
    }

    // Guards against taking the close of a connection for the end of an answer.
    void send_answer_without_length_is_truncated()
    {
        raw_server server(
            [](int connection, int)
            {
                raw_server::read_header(connection);
                raw_server::write(connection, "HTTP/1.1 200 OK\r\n\r\nhel");
            });
        client http{client_options{}};
        const client_result result = http.send(server.address(), request{});
        CPPUNIT_ASSERT(!result.complete);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_truncated);
    }

    // Guards against a call that outlives its timeout.
    void send_slow_answer_times_out_as_sent()
    {
        raw_server server(
            [](int connection, int)
            {
                raw_server::read_header(connection);
                raw_server::write(connection, full_answer.substr(0, 20));
                raw_server::read_header(connection);
            });
        client http(short_timeouts());
        const auto start = std::chrono::steady_clock::now();
        const client_result result = http.send(server.address(), post());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                       std::chrono::seconds(2));
        CPPUNIT_ASSERT(result.request_sent);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_timeout);
    }

    // Guards against "nothing sent" when the request is in the receive buffer
    // of a paused upstream.
    void send_silent_listener_is_timeout_as_sent()
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        CPPUNIT_ASSERT_EQUAL(
            0, ::bind(listener, reinterpret_cast<sockaddr*>(&address), size));
        ::listen(listener, 1);
        ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        client http(short_timeouts());
        const client_result result = http.send(
            "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), post());
        ::close(listener);
        CPPUNIT_ASSERT(result.request_sent);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_timeout);
    }

    // Guards against unbounded memory use by bodies and by headers.
    void send_too_large_answer_is_truncated()
    {
        const std::string large(100000, 'x');
        raw_server server(
            [&large](int connection, int number)
            {
                raw_server::read_header(connection);
                raw_server::write(
                    connection,
                    number == 1
                        ? "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                              large
                        : "HTTP/1.1 200 OK\r\nX-Large: " +
                              large.substr(1, 70000) +
                              "\r\nContent-Length: 0\r\n\r\n");
            });
        client_options options;
        options.max_answer_bytes = 50000;
        client http(options);
        for (int i = 0; i < 2; ++i)
        {
            const client_result result = http.send(server.address(), post());
            CPPUNIT_ASSERT(!result.complete);
            CPPUNIT_ASSERT(result.answer.body.size() <= 50000);
            CPPUNIT_ASSERT(base::kind_of(result.status) ==
                           base::error_kind::upstream_truncated);
        }
    }

    // Guards against libcurl's own retry when a reused connection is closed
    // without an answer: the request could run twice (invariant 7).
    void send_lost_reused_connection_is_not_retried()
    {
        for (const bool reset : {false, true})
        {
            std::atomic<int> received{0};
            raw_server server(
                [&received, reset](int connection, int)
                {
                    while (!raw_server::read_header(connection).empty())
                    {
                        if (++received == 2)
                        {
                            if (reset)
                            {
                                raw_server::reset_on_close(connection);
                            }
                            return;
                        }
                        raw_server::write(connection, full_answer);
                    }
                });
            client http{client_options{}};
            CPPUNIT_ASSERT(http.send(server.address(), post("")).ok());
            const client_result lost = http.send(server.address(), post(""));
            CPPUNIT_ASSERT(lost.request_sent);
            CPPUNIT_ASSERT(!lost.complete);
            CPPUNIT_ASSERT_EQUAL(2, received.load());
        }
    }

    // Guards against an answer that was sent twice being delivered to the next
    // request on the connection (invariant 5).
    void send_excess_answer_is_not_delivered_to_next_request()
    {
        raw_server server(
            [](int connection, int number)
            {
                const std::string own =
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                    std::to_string(number);
                while (!raw_server::read_header(connection).empty())
                {
                    raw_server::write(connection, own + own);
                }
            });
        client http{client_options{}};
        CPPUNIT_ASSERT_EQUAL(
            std::string("1"),
            http.send(server.address(), request{}).answer.body);
        CPPUNIT_ASSERT_EQUAL(
            std::string("2"),
            http.send(server.address(), request{}).answer.body);
    }

    // Guards against requests to an address that the caller did not choose.
    void send_redirect_is_returned_not_followed()
    {
        raw_server server(
            [](int connection, int)
            {
                raw_server::read_header(connection);
                raw_server::write(connection,
                                  "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
                                  "Content-Length: 0\r\n\r\n");
            });
        client http{client_options{}};
        const client_result result = http.send(server.address(), request{});
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(302, result.answer.status);
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
    }

    // Guards against DNS look-ups and header injection.
    void send_malformed_request_is_refused()
    {
        client http{client_options{}};
        request injected;
        injected.headers.add("X-Key", "a\r\nX-Other: b");
        request spaced;
        spaced.path = "/a b";
        for (const auto& [address, message] :
             {std::pair<std::string, request>{"localhost:80", request{}},
              {"127.0.0.1", request{}},
              {"127.0.0.1:70000", request{}},
              {"127.0.0.1:9", injected},
              {"127.0.0.1:9", spaced}})
        {
            const client_result result = http.send(address, message);
            CPPUNIT_ASSERT(!result.request_sent);
            CPPUNIT_ASSERT(base::kind_of(result.status) ==
                           base::error_kind::invalid_request);
        }
    }

    // Guards against headers that add control traffic: at 11 requests/s a
    // daemon has about 1 KB for each.
    void send_adds_few_headers()
    {
        std::string header;
        raw_server server(
            [&header](int connection, int)
            {
                header = raw_server::read_header(connection);
                raw_server::write(connection, full_answer);
            });
        {
            client http{client_options{}};
            request message = post();
            message.query["q"] = "a b";
            CPPUNIT_ASSERT(http.send(server.address(), message).ok());
        }
        CPPUNIT_ASSERT_EQUAL(
            "POST /run?q=a%20b HTTP/1.1\r\nHost: " + server.address() +
                "\r\nContent-Length: 4\r\n\r\n",
            header);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_test);

} // namespace coltsfootrack::http
