// Claims of idempotency keys whose daemon crashes.

#include "fleet_driver.hpp"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace coltsfootrack::local_cluster
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class idempotency_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(idempotency_test);
    CPPUNIT_TEST(claim_of_crashed_daemon_ends_and_request_never_runs_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that is answered request_in_progress forever after
    // its daemon crashed, and against a second run of its request.
    void claim_of_crashed_daemon_ends_and_request_never_runs_again()
    {
        cluster_options options;
        options.zones = {{"a1", "north"}, {"a2", "north"}};
        options.workers_per_zone = 1;
        options.accelerator_workers_per_zone = 0;
        options.runners_per_zone = 1;
        fleet_driver driver("dead-claim", options);
        sample_ticket ticket(1);
        ticket.team("audio", 1, {64000, 262144, 0});
        const std::string key = ticket.key("audio-1", "audio");
        ticket.service("stream", "audio", false, 8000);
        driver.accept_ticket(0, ticket);
        driver.wait_sequence(1);
        const auto send = [&](std::size_t daemon, int work_ms)
        {
            return driver.post(daemon, "/v1/services/stream/requests", key,
                               {{"work_ms", work_ms}, {"mark", "once"}},
                               "key-1");
        };
        std::thread caller([&] { send(0, 4000); });
        const bool running =
            cluster::wait_for([&] { return runs(driver) == 1; }, seconds(20));
        driver.fleet().daemons()[0].process->kill();
        caller.join();
        CPPUNIT_ASSERT(running);
        CPPUNIT_ASSERT_EQUAL(std::string("request_in_progress"),
                             error_of(send(1, 4000)));
        driver.fleet().start_daemon(0);
        std::string last;
        CPPUNIT_ASSERT_MESSAGE(last, cluster::wait_for(
                                         [&]
                                         {
                                             last = error_of(send(1, 4000));
                                             return last == "outcome_unknown";
                                         },
                                         seconds(30)));
        std::this_thread::sleep_for(milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(1, runs(driver));
    }

private:
    static int runs(fleet_driver& driver)
    {
        int count = 0;
        for (const json& run : driver.runner_history())
        {
            count += run.at("mark") == "once" ? 1 : 0;
        }
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idempotency_test);

} // namespace coltsfootrack::local_cluster
