// Tests of the asynchronous client: the results of calls when the server or the
// client's own thread is slow.

#include "raw_server.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/async_client.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>
#include <thread>

namespace coltsfootrack::http
{
namespace
{

using std::chrono::milliseconds;

const std::string full_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

request post()
{
    request message;
    message.method = "POST";
    message.path = "/order";
    message.body = "{}";
    return message;
}

// Answers each request of a connection after a delay.
std::function<void(int, int)> answer_after(milliseconds delay)
{
    return [delay](int connection, int)
    {
        while (!raw_server::read_header(connection).empty())
        {
            std::this_thread::sleep_for(delay);
            raw_server::write(connection, full_answer);
        }
    };
}

std::future<client_result> send(async_client& http, const std::string& address,
                                milliseconds timeout)
{
    auto ended = std::make_shared<std::promise<client_result>>();
    auto result = ended->get_future();
    http.send(address, post(), timeout,
              [ended](client_result value)
              { ended->set_value(std::move(value)); });
    return result;
}

} // namespace

class async_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(async_client_test);
    CPPUNIT_TEST(send_answer_in_time_is_accepted_by_late_thread);
    CPPUNIT_TEST(send_queued_for_connection_timeout_starts_when_sent);
    CPPUNIT_TEST(send_slow_answer_times_out_as_sent);
    CPPUNIT_TEST(send_endless_answer_times_out);
    CPPUNIT_TEST(send_queued_too_long_fails_as_not_sent);
    CPPUNIT_TEST(send_condition_false_when_connected_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that is short of CPU and takes its own lateness
    // for a worker that does not answer.
    void send_answer_in_time_is_accepted_by_late_thread()
    {
        raw_server quick(answer_after(milliseconds(0)));
        raw_server slower(answer_after(milliseconds(50)));
        async_client http{client_options{}, 2};
        auto awaited = send(http, slower.address(), milliseconds(200));
        http.send(quick.address(), post(), milliseconds(200),
                  [](const client_result& /*result*/)
                  { std::this_thread::sleep_for(milliseconds(600)); });
        const client_result result = awaited.get();
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), result.answer.body);
    }

    // Guards against an order that a daemon sends after it was paused while the
    // connection was being opened: the condition is asked as late as possible.
    void send_condition_false_when_connected_is_not_sent()
    {
        auto received = std::make_shared<std::promise<std::string>>();
        raw_server server(
            [received](int connection, int)
            { received->set_value(raw_server::read_header(connection)); });
        async_client http{client_options{}, 2};
        std::promise<client_result> ended;
        call_options options;
        options.timeout = milliseconds(500);
        options.may_send = []
        {
            return false;
        };
        http.send(server.address(), post(), options,
                  [&ended](client_result value)
                  { ended.set_value(std::move(value)); });
        const client_result result = ended.get_future().get();
        CPPUNIT_ASSERT(!result.ok());
        CPPUNIT_ASSERT(!result.request_sent);
        // The server sees a connection that is closed without a request.
        CPPUNIT_ASSERT_EQUAL(std::string(), received->get_future().get());
    }

    // Guards against orders that time out because several go to one worker at
    // once.
    void send_queued_for_connection_timeout_starts_when_sent()
    {
        raw_server server(answer_after(milliseconds(120)));
        async_client http{client_options{}, 1};
        auto first = send(http, server.address(), milliseconds(200));
        auto second = send(http, server.address(), milliseconds(200));
        CPPUNIT_ASSERT(first.get().ok());
        CPPUNIT_ASSERT(second.get().ok());
    }

    void send_slow_answer_times_out_as_sent()
    {
        raw_server server(answer_after(milliseconds(400)));
        async_client http{client_options{}, 1};
        const auto begin = std::chrono::steady_clock::now();
        const client_result result =
            send(http, server.address(), milliseconds(100)).get();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin >=
                       milliseconds(100));
        CPPUNIT_ASSERT(result.request_sent);
        CPPUNIT_ASSERT(base::kind_of(result.status) ==
                       base::error_kind::upstream_timeout);
        // The late answer is not delivered to the next call.
        CPPUNIT_ASSERT(send(http, server.address(), milliseconds(2000))
                           .get()
                           .request_sent);
        CPPUNIT_ASSERT_EQUAL(2, server.accepted());
    }

    // Guards against a call that never ends because each byte that arrives
    // gives it another round.
    void send_endless_answer_times_out()
    {
        raw_server server(
            [](int connection, int)
            {
                raw_server::read_header(connection);
                raw_server::write(connection, "HTTP/1.1 200 OK\r\n"
                                              "Content-Length: 100000\r\n\r\n");
                for (int i = 0; i < 1000; ++i)
                {
                    raw_server::write(connection, "x");
                    std::this_thread::sleep_for(milliseconds(2));
                }
            });
        async_client http{client_options{}, 1};
        auto ended = send(http, server.address(), milliseconds(50));
        CPPUNIT_ASSERT(ended.wait_for(milliseconds(1500)) ==
                       std::future_status::ready);
        CPPUNIT_ASSERT(base::kind_of(ended.get().status) ==
                       base::error_kind::upstream_timeout);
    }

    // Guards against an order reported as unknown that was never sent.
    void send_queued_too_long_fails_as_not_sent()
    {
        raw_server server(answer_after(milliseconds(600)));
        client_options options;
        options.connect_timeout = milliseconds(100);
        async_client http(options, 1);
        auto first = send(http, server.address(), milliseconds(2000));
        auto second = send(http, server.address(), milliseconds(2000));
        CPPUNIT_ASSERT(!second.get().request_sent);
        CPPUNIT_ASSERT(first.get().ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(async_client_test);

} // namespace coltsfootrack::http
