// Tests of the server's limits and graceful shutdown.

#include "raw_server.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/client.hpp>
#include <coltsfootrack/http/json_response.hpp>
#include <coltsfootrack/http/server.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <poll.h>
#include <stdexcept>
#include <vector>

namespace coltsfootrack::http
{
namespace
{

std::unique_ptr<server> start(const server_options& options,
                              server::handler handle)
{
    auto started = server::start(options, std::move(handle));
    CPPUNIT_ASSERT(started.ok());
    return std::move(*started);
}

std::string address_of(const server& server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

int connect_to(const server& server)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(connection);
        return -1;
    }
    return connection;
}

request put(std::string body)
{
    request message;
    message.method = "PUT";
    message.path = "/v1/echo";
    message.query = {{"a", "1 2"}};
    message.headers.add("X-Team-Key", "k");
    message.body = std::move(body);
    return message;
}

} // namespace

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(request_all_parts_reach_handler);
    CPPUNIT_TEST(body_over_limit_is_refused_without_handler);
    CPPUNIT_TEST(request_malformed_is_refused);
    CPPUNIT_TEST(handler_exception_is_internal_error);
    CPPUNIT_TEST(connections_over_limit_are_refused);
    CPPUNIT_TEST(connection_idle_is_closed);
    CPPUNIT_TEST(shutdown_finishes_requests_in_flight);
    CPPUNIT_TEST(requests_from_many_threads_get_their_own_answers);
    CPPUNIT_TEST(error_response_round_trip_keeps_kind);
    CPPUNIT_TEST(parse_object_refuses_other_bodies);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part of the request that does not reach the handler.
    void request_all_parts_reach_handler()
    {
        request seen;
        const auto server = start({},
                                  [&seen](const request& message)
                                  {
                                      seen = message;
                                      return json_response(201, {{"ok", 1}});
                                  });
        client http{client_options{}};
        const client_result result =
            http.send(address_of(*server), put("body"));
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(201, result.answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("{\"ok\":1}"), result.answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), seen.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/echo"), seen.path);
        CPPUNIT_ASSERT_EQUAL(std::string("1 2"), seen.query["a"]);
        CPPUNIT_ASSERT(seen.headers.value("x-team-key") == "k");
        CPPUNIT_ASSERT_EQUAL(std::string("body"), seen.body);
    }

    // Guards against unbounded memory use, with and without a declared length.
    void body_over_limit_is_refused_without_handler()
    {
        server_options options;
        options.max_body_bytes = 10000;
        std::atomic<int> calls{0};
        const auto server = start(options,
                                  [&calls](const request&)
                                  {
                                      ++calls;
                                      return response{};
                                  });
        client http{client_options{}};
        for (const std::size_t size : {10001, 30000, 35000})
        {
            const client_result result =
                http.send(address_of(*server), put(std::string(size, 'x')));
            CPPUNIT_ASSERT(result.ok());
            CPPUNIT_ASSERT_EQUAL(413, result.answer.status);
            CPPUNIT_ASSERT(base::kind_of(error_of(result.answer)) ==
                           base::error_kind::body_too_large);
        }
        const int chunked = connect_to(*server);
        raw_server::write(chunked, "PUT / HTTP/1.1\r\nHost: a\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "3000\r\n" +
                                       std::string(0x3000, 'x') +
                                       "\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(raw_server::read_header(chunked).find(" 413 ") !=
                       std::string::npos);
        ::close(chunked);
        CPPUNIT_ASSERT_EQUAL(0, calls.load());
        CPPUNIT_ASSERT(
            http.send(address_of(*server), put(std::string(10000, 'x'))).ok());
        CPPUNIT_ASSERT_EQUAL(1, calls.load());
    }

    // Guards against a handler that is called with an incomplete request.
    void request_malformed_is_refused()
    {
        std::atomic<int> calls{0};
        const auto server = start({},
                                  [&calls](const request&)
                                  {
                                      ++calls;
                                      return response{};
                                  });
        for (const char* text : {"GARBAGE\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"})
        {
            const int connection = connect_to(*server);
            raw_server::write(connection, text);
            const std::string answer = raw_server::read_header(connection);
            CPPUNIT_ASSERT(answer.empty() ||
                           answer.find(" 400 ") != std::string::npos);
            ::close(connection);
        }
        const int cut = connect_to(*server);
        raw_server::write(cut, "PUT / HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: 10\r\n\r\nabc");
        ::close(cut);
        CPPUNIT_ASSERT(server->wait_idle(std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(0, calls.load());
    }

    // Guards against a daemon that terminates because of one bad request.
    void handler_exception_is_internal_error()
    {
        const auto server = start({},
                                  [](const request&) -> response
                                  { throw std::runtime_error("x"); });
        client http{client_options{}};
        const client_result result = http.send(address_of(*server), request{});
        CPPUNIT_ASSERT_EQUAL(500, result.answer.status);
        CPPUNIT_ASSERT(base::kind_of(error_of(result.answer)) ==
                       base::error_kind::internal);
    }

    // Guards against more concurrent handlers than the limit, and against
    // callers above it that get no reason.
    void connections_over_limit_are_refused()
    {
        server_options options;
        options.max_connections = 2;
        std::promise<void> leave;
        std::atomic<int> running{0};
        const auto server =
            start(options,
                  [&, left = leave.get_future().share()](const request&)
                  {
                      ++running;
                      left.wait();
                      return response{};
                  });
        client http{client_options{}};
        const auto call = [&]
        {
            return http.send(address_of(*server), request{});
        };
        auto first = std::async(std::launch::async, call);
        auto second = std::async(std::launch::async, call);
        while (running < 2)
        {
            std::this_thread::yield();
        }
        for (int i = 0; i < 3; ++i)
        {
            const client_result refused = call();
            CPPUNIT_ASSERT_EQUAL(503, refused.answer.status);
            CPPUNIT_ASSERT(base::kind_of(error_of(refused.answer)) ==
                           base::error_kind::overloaded);
        }
        CPPUNIT_ASSERT_EQUAL(2, running.load());
        leave.set_value();
        CPPUNIT_ASSERT(first.get().ok());
        CPPUNIT_ASSERT(second.get().ok());
    }

    // Guards against idle connections that occupy threads.
    void connection_idle_is_closed()
    {
        server_options options;
        options.idle_timeout = std::chrono::seconds(1);
        const auto server =
            start(options, [](const request&) { return response{}; });
        const int connection = connect_to(*server);
        pollfd readable{connection, POLLIN, 0};
        CPPUNIT_ASSERT_EQUAL(1, ::poll(&readable, 1, 5000));
        char byte = 0;
        CPPUNIT_ASSERT(::recv(connection, &byte, 1, 0) <= 0);
        ::close(connection);
    }

    // Guards against a planned stop that interrupts a request (invariant 9), or
    // that leaves callers waiting on a listening socket.
    void shutdown_finishes_requests_in_flight()
    {
        std::promise<void> entered;
        std::promise<void> leave;
        const auto server = start({},
                                  [&](const request&)
                                  {
                                      entered.set_value();
                                      leave.get_future().wait();
                                      return json_response(200, {{"n", 1}});
                                  });
        client http{client_options{}};
        auto call =
            std::async(std::launch::async, [&]
                       { return http.send(address_of(*server), request{}); });
        entered.get_future().wait();
        server->stop_accepting();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->in_flight());
        CPPUNIT_ASSERT(!server->wait_idle(std::chrono::milliseconds(20)));
        CPPUNIT_ASSERT_EQUAL(-1, connect_to(*server));
        leave.set_value();
        const client_result result = call.get();
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("{\"n\":1}"), result.answer.body);
        CPPUNIT_ASSERT(result.answer.headers.value("Connection") == "close");
        CPPUNIT_ASSERT(server->wait_idle(std::chrono::seconds(5)));
        server->stop();
    }

    // Guards against answers that are delivered to another caller (invariant
    // 5), and against data races in the connection pool.
    void requests_from_many_threads_get_their_own_answers()
    {
        const auto server = start({},
                                  [](const request& message)
                                  {
                                      response answer;
                                      answer.body = message.body;
                                      return answer;
                                  });
        client_options options;
        options.max_idle_connections = 3;
        client http(options);
        std::vector<std::future<int>> threads;
        threads.reserve(8);
        for (int thread = 0; thread < 8; ++thread)
        {
            threads.push_back(std::async(
                std::launch::async,
                [&, thread]
                {
                    int wrong = 0;
                    for (int i = 0; i < 100; ++i)
                    {
                        const std::string body =
                            std::to_string(thread) + "/" + std::to_string(i);
                        const client_result result =
                            http.send(address_of(*server), put(body));
                        wrong += !result.ok() || result.answer.body != body;
                    }
                    return wrong;
                }));
        }
        for (auto& thread : threads)
        {
            CPPUNIT_ASSERT_EQUAL(0, thread.get());
        }
    }

    // Guards against a tool that shows another error than the daemon reported.
    void error_response_round_trip_keeps_kind()
    {
        for (const base::error_answer& row : base::error_answers())
        {
            const absl::Status error = base::make_error(row.kind, "team t1");
            const response answer = error_response(error);
            CPPUNIT_ASSERT_EQUAL(row.http_status, answer.status);
            CPPUNIT_ASSERT(base::kind_of(error_of(answer)) == row.kind);
            CPPUNIT_ASSERT(error_of(answer).message() == "team t1");
        }
        CPPUNIT_ASSERT(base::kind_of(error_of(response{})) ==
                       base::error_kind::internal);
    }

    // Guards against bodies that later code cannot handle.
    void parse_object_refuses_other_bodies()
    {
        CPPUNIT_ASSERT(parse_object("{\"a\": [1]}").ok());
        const std::string deep(100000, '[');
        for (const std::string& body :
             {std::string(), std::string("[]"), std::string("{"),
              "{\"a\":" + deep + std::string(100000, ']') + "}"})
        {
            CPPUNIT_ASSERT(base::kind_of(parse_object(body).status()) ==
                           base::error_kind::invalid_request);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace coltsfootrack::http
