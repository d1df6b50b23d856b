// Upper limits of teams across zones while answers are lost, an owner crashes
// and a limit is lowered.

#include "fleet_checks.hpp"
#include "fleet_driver.hpp"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <thread>
#include <vector>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t core = 1000;
const base::resources full = {64 * core, 1048576, 0};
const base::resources half = {32 * core, 1048576, 0};
const std::map<std::string, base::resources> limits = {{"audio", full}};

cluster_options two_zones(int daemons_per_zone)
{
    cluster_options options;
    options.zones = {{"a1", "north"}, {"a2", "north"}};
    options.daemons_per_zone = daemons_per_zone;
    options.workers_per_zone = 4;
    options.accelerator_workers_per_zone = 0;
    options.runners_per_zone = 0;
    return options;
}

// The jobs need more than the limit, which is far below the capacity.
std::string set_up(fleet_driver& driver, int run_ms)
{
    sample_ticket ticket(1);
    ticket.team("audio", 1, full);
    std::string key = ticket.key("audio-1", "audio");
    ticket.workload("plan", "audio", "batch", {4 * core, 8192, 0}, 16, run_ms);
    driver.accept_ticket(0, ticket);
    driver.wait_sequence(1);
    return key;
}

// The cores that are in use over all workers.
std::int64_t cores_in_use(fleet_driver& driver)
{
    return std::int64_t{4} * driver.running_tasks();
}

} // namespace

class quota_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_test);
    CPPUNIT_TEST(lost_answers_and_crashed_owner_keep_the_limit);
    CPPUNIT_TEST(lowered_limit_is_reached_and_never_exceeds_the_former);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against zones that together exceed the limit, for example because
    // a transferred slice is counted twice.
    void lost_answers_and_crashed_owner_keep_the_limit()
    {
        fleet_driver driver("quota-lost", two_zones(2));
        const std::string key = set_up(driver, 1500);
        driver.wait_candidate("a1");
        driver.store_faults({{"lose_every", 4}});
        std::vector<std::thread> callers;
        callers.reserve(2);
        for (std::size_t zone = 0; zone < 2; ++zone)
        {
            callers.emplace_back(
                [&, zone]
                {
                    for (int i = 0; i < 4; ++i)
                    {
                        const json body = {
                            {"workload", "plan"},
                            {"id", fmt::format("job-{}-{}", zone, i)}};
                        cluster::wait_for(
                            [&]
                            {
                                const int status =
                                    driver.post(zone, "/v1/jobs", key, body)
                                        .status;
                                return status == 202 || status == 200;
                            },
                            seconds(20));
                    }
                });
        }
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return cores_in_use(driver) >= 16; }, seconds(30)));
        const int owner = driver.fleet().owner_of("a1");
        CPPUNIT_ASSERT(owner >= 0);
        driver.fleet()
            .daemons()[static_cast<std::size_t>(owner)]
            .process->kill();
        const bool all_finished = cluster::wait_for(
            [&]
            {
                for (int i = 0; i < 8; ++i)
                {
                    if (!driver.finished(
                            fmt::format("job-{}-{}", i / 4, i % 4)))
                    {
                        return false;
                    }
                }
                return true;
            },
            seconds(75));
        driver.check_workers(limits);
        CPPUNIT_ASSERT(all_finished);
        // The jobs must have used at least half of the limit.
        CPPUNIT_ASSERT(
            peak_usage(driver.fleet().worker_history()).at("audio").cpu_milli >=
            full.cpu_milli / 2);
    }

    // Guards against a lowered limit that is not enforced on running tasks, or
    // whose slice transfers exceed the former limit.
    void lowered_limit_is_reached_and_never_exceeds_the_former()
    {
        fleet_driver driver("quota-lowered", two_zones(1));
        const std::string key = set_up(driver, 600000);
        for (int i = 0; i < 4; ++i)
        {
            const auto daemon = static_cast<std::size_t>(i % 2);
            driver.submit({daemon}, "plan", key, fmt::format("job-{}", i));
        }
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return cores_in_use(driver) == 64; }, seconds(30)));
        sample_ticket lower(2);
        lower.team("audio", 1, half);
        driver.accept_ticket(0, lower);
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return cores_in_use(driver) <= 32; }, seconds(60)));
        // Stopped tasks are queued again; they must not start above the limit.
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(cores_in_use(driver) <= 32);
            std::this_thread::sleep_for(milliseconds(200));
        }
        driver.check_workers(limits);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_test);

} // namespace coltsfootrack::local_cluster
