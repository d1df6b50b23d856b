// Guards against orders that the client of the platform's runners sends after
// their time, as a daemon may that was paused.

#include "http/raw_server.hpp"
#include "runner_client.hpp"

#include <coltsfootrack/base/manual_clock.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <string>

namespace coltsfootrack::platform
{
namespace
{

using fleet::order_outcome;
using std::chrono::milliseconds;

// A runner that answers every call, and the client that calls it.
struct runner_and_client
{
    runner_and_client()
        : server(
              [this](int connection, int)
              {
                  while (!http::raw_server::read_header(connection).empty())
                  {
                      ++calls;
                      http::raw_server::write(
                          connection,
                          "HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n"
                          "{\"clock_ms\":5,\"running\":[],\"ended\":[],\"a\":"
                          "\"b\"}");
                  }
              })
        , port(make_worker_port(client, clock))
    {
        worker.worker = base::worker_id("w-1");
        worker.address = server.address();
    }

    order_outcome start(base::time_point send_by)
    {
        std::promise<order_outcome> ended;
        fleet::start_order order;
        order.task = {{base::job_id("0123456789abcdef"), 0, 0}, 1};
        order.run = 3;
        port.start(worker, 7, order, milliseconds(5000), send_by,
                   [&ended](const fleet::start_result& value)
                   { ended.set_value(value.outcome); });
        return ended.get_future().get();
    }

    order_outcome renew(base::time_point send_by)
    {
        std::promise<order_outcome> ended;
        cell::lease_renewal renewal;
        renewal.send_by = send_by;
        port.renew(worker, renewal,
                   [&ended](const cell::renewal_result& value)
                   { ended.set_value(value.outcome); });
        return ended.get_future().get();
    }

    std::atomic<int> calls{0};
    base::manual_clock clock;
    http::raw_server server;
    http::async_client client{http::client_options{}, 2};
    cell::worker_port port;
    fleet::worker_listing worker;
};

} // namespace

class runner_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(runner_client_test);
    CPPUNIT_TEST(start_within_limit_is_sent);
    CPPUNIT_TEST(start_past_limit_is_late_and_not_sent);
    CPPUNIT_TEST(renewal_past_limit_is_not_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void start_within_limit_is_sent()
    {
        runner_and_client both;
        CPPUNIT_ASSERT(both.start(both.clock.now() + milliseconds(600)) ==
                       order_outcome::carried_out);
        CPPUNIT_ASSERT_EQUAL(1, both.calls.load());
    }

    void start_past_limit_is_late_and_not_sent()
    {
        runner_and_client both;
        const base::time_point send_by = both.clock.now() + milliseconds(600);
        both.clock.advance(milliseconds(601));
        CPPUNIT_ASSERT(both.start(send_by) == order_outcome::late);
        CPPUNIT_ASSERT_EQUAL(0, both.calls.load());
    }

    // Its acknowledgement would concern the ends of a former life.
    void renewal_past_limit_is_not_sent()
    {
        runner_and_client both;
        const base::time_point send_by = both.clock.now() + milliseconds(600);
        both.clock.advance(milliseconds(601));
        // Nor does it tell anything of the runner.
        CPPUNIT_ASSERT(both.renew(send_by) == order_outcome::late);
        CPPUNIT_ASSERT_EQUAL(0, both.calls.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(runner_client_test);

} // namespace coltsfootrack::platform
