// Invariants of zones while the owner is paused or killed, answers to claim
// writes are lost, and a worker is cut off.

#include "fleet_checks.hpp"
#include "fleet_driver.hpp"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fmt/core.h>

namespace coltsfootrack::local_cluster
{
namespace
{

using std::chrono::seconds;

const std::map<std::string, base::resources> limits = {
    {"audio", {96000, 400000, 0}}};

cluster_options one_zone(int daemons)
{
    cluster_options options;
    options.zones = {{"a1", "north"}};
    options.daemons_per_zone = daemons;
    options.workers_per_zone = 4;
    options.accelerator_workers_per_zone = 0;
    options.runners_per_zone = 0;
    return options;
}

std::string set_up(fleet_driver& driver, int run_ms, int tasks)
{
    sample_ticket ticket(1);
    ticket.team("audio", 1, limits.at("audio"));
    std::string key = ticket.key("audio-1", "audio");
    ticket.workload("restore", "audio", "batch", {8000, 16384, 0}, tasks,
                    run_ms, {{"exclusive", true}});
    driver.accept_ticket(0, ticket);
    driver.wait_sequence(1);
    return key;
}

} // namespace

class ownership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ownership_test);
    CPPUNIT_TEST(owner_paused_past_lease_keeps_capacity_and_exclusivity);
    CPPUNIT_TEST(tasks_that_end_without_owner_are_not_started_again);
    CPPUNIT_TEST(claim_answers_lost_keeps_exclusivity);
    CPPUNIT_TEST(worker_cut_off_restarts_task_only_after_its_end);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an owner that acts after a pause past its lease, and
    // against a successor that does not know the running tasks.
    void owner_paused_past_lease_keeps_capacity_and_exclusivity()
    {
        fleet_driver driver("owner-paused", one_zone(2));
        const std::string key = set_up(driver, 15000, 8);
        driver.wait_candidate("a1");
        const int owner = driver.fleet().owner_of("a1");
        CPPUNIT_ASSERT(owner >= 0);
        const auto first = static_cast<std::size_t>(owner);
        const std::size_t second = 1 - first;
        driver.submit({first}, "restore", key, "before-1");
        driver.submit({first}, "restore", key, "before-2");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.running_tasks() == 12; }, seconds(20)));
        const auto& process = *driver.fleet().daemons()[first].process;
        const std::string successor = driver.fleet().daemons()[second].id;
        process.send_signal(SIGSTOP);
        CPPUNIT_ASSERT(cluster::wait_for(
            [&]
            { return driver.row("owner/a1").value("daemon", "") == successor; },
            seconds(30)));
        driver.submit({second}, "restore", key, "paused");
        const std::size_t seen = driver.fleet().worker_history().size();
        // The successor starts and ends tasks before the old owner continues.
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.fleet().worker_history().size() > seen + 4; },
            seconds(30)));
        process.send_signal(SIGCONT);
        driver.submit({first, second}, "restore", key, "after");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&]
            {
                return driver.finished("before-1") &&
                       driver.finished("before-2") && driver.finished("paused");
            },
            seconds(60)));
        driver.check_workers(limits);
    }

    // Guards against a successor that restarts tasks which finished while the
    // zone had no owner.
    void tasks_that_end_without_owner_are_not_started_again()
    {
        fleet_driver driver("ended-without-owner", one_zone(2));
        const std::string key = set_up(driver, 4000, 8);
        driver.wait_candidate("a1");
        const int owner = driver.fleet().owner_of("a1");
        CPPUNIT_ASSERT(owner >= 0);
        const auto first = static_cast<std::size_t>(owner);
        driver.submit({first}, "restore", key, "once");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.running_tasks("once") == 8; }, seconds(20)));
        // The tasks end before the lease of the owner lapses.
        driver.fleet().daemons()[first].process->kill();
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.finished("once"); }, seconds(60)));
        CPPUNIT_ASSERT_EQUAL(
            8, count_starts(driver.fleet().worker_history(), "once"));
        driver.check_workers(limits);
    }

    // Guards against a second start of a task after the write of its claim took
    // effect but the answer was lost.
    void claim_answers_lost_keeps_exclusivity()
    {
        fleet_driver driver("claim-answers", one_zone(1));
        const std::string key = set_up(driver, 1000, 8);
        driver.store_faults({{"lose_every", 3}});
        for (int i = 0; i < 4; ++i)
        {
            driver.submit({0}, "restore", key, fmt::format("job-{}", i));
        }
        CPPUNIT_ASSERT(cluster::wait_for(
            [&]
            {
                for (int i = 0; i < 4; ++i)
                {
                    if (!driver.finished(fmt::format("job-{}", i)))
                    {
                        return false;
                    }
                }
                return true;
            },
            seconds(90)));
        driver.check_workers(limits);
        for (int i = 0; i < 4; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(8,
                                 count_starts(driver.fleet().worker_history(),
                                              fmt::format("job-{}", i)));
        }
    }

    // Guards against a second start of an exclusive task while a worker that
    // cannot be reached still runs it.
    void worker_cut_off_restarts_task_only_after_its_end()
    {
        fleet_driver driver("worker-cut", one_zone(1));
        const std::string key = set_up(driver, 600000, 1);
        driver.submit({0}, "restore", key, "long");
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] { return driver.running_tasks("long") == 1; }, seconds(20)));
        const std::string worker =
            driver.fleet().worker_history().at(0).at("worker");
        driver.vm_faults(worker, {{"cut", true}});
        CPPUNIT_ASSERT(cluster::wait_for(
            [&] {
                return count_starts(driver.fleet().worker_history(), "long") ==
                       2;
            },
            seconds(80)));
        driver.check_workers(limits);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ownership_test);

} // namespace coltsfootrack::local_cluster
