// Upstreams that leave, planned stops of daemons and outages of the store.

#include "fleet_driver.hpp"

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <ctime>
#include <fmt/core.h>
#include <mutex>
#include <thread>
#include <vector>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::map<std::string, base::resources> limits = {
    {"audio", {256000, 1048576, 0}}};

cluster_options small(std::size_t zones)
{
    cluster_options options;
    options.zones.resize(zones);
    options.workers_per_zone = 2;
    options.accelerator_workers_per_zone = 0;
    options.runners_per_zone = 2;
    return options;
}

std::string set_up(fleet_driver& driver)
{
    sample_ticket ticket(1);
    ticket.team("audio", 1, limits.at("audio"));
    std::string key = ticket.key("audio-1", "audio");
    ticket.service("stream", "audio", true, 3000)
        .workload("short", "audio", "batch", {4000, 8192, 0}, 4, 300)
        .workload("long", "audio", "batch", {4000, 8192, 0}, 4, 600000);
    driver.accept_ticket(0, ticket);
    driver.wait_sequence(1);
    return key;
}

std::int64_t monotonic_ms()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<std::int64_t>(time.tv_sec) * 1000 +
           time.tv_nsec / 1000000;
}

http::response serve(fleet_driver& driver, std::size_t daemon,
                     const std::string& key, const std::string& mark,
                     int work_ms)
{
    return driver.post(daemon, "/v1/services/stream/requests", key,
                       {{"work_ms", work_ms}, {"mark", mark}});
}

void wait_served(fleet_driver& driver, const std::string& key)
{
    CPPUNIT_ASSERT(cluster::wait_for(
        [&]
        {
            for (std::size_t i = 0; i < driver.fleet().daemons().size(); ++i)
            {
                if (serve(driver, i, key, "warm-up", 1).status != 200)
                {
                    return false;
                }
            }
            return true;
        },
        seconds(20)));
}

} // namespace

class lifecycle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lifecycle_test);
    CPPUNIT_TEST(leaving_upstreams_get_no_new_work);
    CPPUNIT_TEST(daemons_stopped_in_turn_lose_no_request);
    CPPUNIT_TEST(store_outage_serves_requests_and_recovers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests and tasks on VMs that the platform lists as
    // leaving.
    void leaving_upstreams_get_no_new_work()
    {
        fleet_driver driver("leaving", small(1));
        const std::string key = set_up(driver);
        wait_served(driver, key);
        constexpr int lag_ms = 2000;
        driver.fleet().set_vm_state("r-a1-0", "leaving", lag_ms);
        driver.fleet().set_vm_state("w-a1-0", "leaving", lag_ms);
        const std::int64_t deadline_ms = monotonic_ms() + lag_ms + 5000;
        int number = 0;
        while (monotonic_ms() < deadline_ms + 6000)
        {
            serve(driver, 0, key, fmt::format("mark-{}", number), 1);
            if (number++ % 40 == 0)
            {
                driver.submit({0}, "short", key, fmt::format("job-{}", number));
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        int later_runs = 0;
        for (const json& run : driver.runner_history())
        {
            const bool after =
                run.at("at_ms").get<std::int64_t>() > deadline_ms;
            CPPUNIT_ASSERT_MESSAGE(run.dump(),
                                   !after || run.at("runner") != "r-a1-0");
            later_runs += after ? 1 : 0;
        }
        CPPUNIT_ASSERT(later_runs > 10);
        later_runs = 0;
        for (const json& event : driver.fleet().worker_history())
        {
            const bool after =
                event.at("event") == "started" &&
                event.at("at_ms").get<std::int64_t>() > deadline_ms;
            CPPUNIT_ASSERT_MESSAGE(event.dump(),
                                   !after || event.at("worker") != "w-a1-0");
            later_runs += after ? 1 : 0;
        }
        CPPUNIT_ASSERT(later_runs > 3);
    }

    // Guards against a planned stop that interrupts requests in flight.
    void daemons_stopped_in_turn_lose_no_request()
    {
        fleet_driver driver("planned-stop", small(3));
        const std::string key = set_up(driver);
        wait_served(driver, key);
        std::atomic<bool> done{false};
        std::atomic<int> complete{0};
        std::mutex mutex;
        std::string violation;
        const auto call_until_answered = [&](int caller, int number)
        {
            const std::string mark = fmt::format("{}-{}", caller, number);
            for (std::size_t attempt = 0; attempt < 200; ++attempt)
            {
                const std::size_t daemon =
                    (static_cast<std::size_t>(caller + number) + attempt) % 3;
                const auto answer = serve(driver, daemon, key, mark, 100);
                if (answer.status == 200)
                {
                    ++complete;
                    return;
                }
                // Nothing was sent if the connection failed.
                const bool refused =
                    answer.status == 0 &&
                    answer.body.find("onnect") != std::string::npos &&
                    answer.body.find("closed") == std::string::npos;
                if (!refused && !says_did_not_run(answer))
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    violation = fmt::format("{} at daemon {}: {} '{}'", mark,
                                            daemon, answer.status, answer.body);
                    return;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
            const std::lock_guard<std::mutex> lock(mutex);
            violation = mark + " was never answered";
        };
        std::vector<std::thread> callers;
        callers.reserve(12);
        for (int caller = 0; caller < 12; ++caller)
        {
            callers.emplace_back(
                [&, caller]
                {
                    for (int number = 0; !done; ++number)
                    {
                        call_until_answered(caller, number);
                    }
                });
        }
        bool clean = true;
        for (std::size_t i = 0; i < 3; ++i)
        {
            std::this_thread::sleep_for(seconds(1));
            auto& process = *driver.fleet().daemons()[i].process;
            process.send_signal(SIGTERM);
            const auto status = process.wait(seconds(30));
            clean = clean && status && *status == 0;
            driver.fleet().start_daemon(i);
            cluster::wait_for(
                [&]
                { return serve(driver, i, key, "warm-up", 1).status == 200; },
                seconds(30));
        }
        done = true;
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violation);
        CPPUNIT_ASSERT(clean);
        CPPUNIT_ASSERT(complete > 100);
    }

    // Guards against a store outage that stops keyed requests or running
    // tasks, accepts jobs that are not stored, or prevents work after it.
    void store_outage_serves_requests_and_recovers()
    {
        fleet_driver driver("store-outage", small(2));
        const std::string key = set_up(driver);
        wait_served(driver, key);
        driver.submit({0}, "long", key, "before");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.running_tasks("before") == 4; }, seconds(20)));
        driver.store_faults({{"down", true}});
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        int number = 0;
        int unknown = 0;
        std::string violation;
        while (std::chrono::steady_clock::now() < end)
        {
            const auto answer = serve(driver, number % 2 == 0 ? 0 : 1, key,
                                      fmt::format("mark-{}", number), 1);
            if (answer.status != 200)
            {
                violation = fmt::format("request {}: {}", number, answer.body);
            }
            if (number++ % 50 == 0)
            {
                const auto job =
                    driver.post(0, "/v1/jobs", key,
                                {{"workload", "short"},
                                 {"id", fmt::format("no-{}", number)}});
                // The outcome is unknown for the submission whose commit was
                // in flight when the store failed; there is at most one.
                if (!says_did_not_run(job))
                {
                    CPPUNIT_ASSERT_MESSAGE(
                        job.body, job.body.find("\"outcome_unknown\"") !=
                                      std::string::npos);
                    ++unknown;
                }
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        CPPUNIT_ASSERT(unknown <= 1);
        CPPUNIT_ASSERT_EQUAL(4, driver.running_tasks("before"));
        driver.store_faults({{"down", false}});
        CPPUNIT_ASSERT_EQUAL(std::string(), violation);
        driver.submit({0, 1}, "short", key, "after");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.finished("after"); }, seconds(40)));
        CPPUNIT_ASSERT_EQUAL(4, driver.running_tasks("before"));
        for (const json& event : driver.fleet().worker_history())
        {
            CPPUNIT_ASSERT_MESSAGE(
                event.dump(),
                event.at("job").get<std::string>().rfind("no-", 0) != 0);
        }
        driver.check_workers(limits);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

} // namespace coltsfootrack::local_cluster
