// A cell of real processes with the stand-in of the users' platform: jobs are
// accepted, run and shown while daemons and the store fail.

#include "standins/cluster/cell_cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <thread>

namespace coltsfootrack::soak
{
namespace
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

cluster_options options_for(const std::string& name)
{
    cluster_options options;
    options.build_folder = ".";
    options.log_folder = "cell-test/" + name;
    return options;
}

submitted_job short_job(int tasks = 2, int milliseconds_each = 100)
{
    submitted_job job;
    job.payload = std::to_string(milliseconds_each) + " 0";
    job.max_attempts = 3;
    submitted_step first;
    first.tasks = tasks;
    first.cpu_milli = 500;
    submitted_step second = first;
    second.after = {0};
    job.steps = {first, second};
    return job;
}

bool wait_until(const std::function<bool()>& holds, milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (steady::now() < end)
    {
        if (holds())
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return holds();
}

// A started cluster, and a checker that knows its jobs.
class running_cell
{
public:
    explicit running_cell(const std::string& name)
        : cluster(options_for(name))
        , checker(options_for(name).worker_cpu_milli)
    {
        CPPUNIT_ASSERT(cluster.wait_ready(milliseconds(10000)));
    }

    // Submits a job to a daemon; returns its id.
    std::string submit(int daemon, const submitted_job& job,
                       int expected_status = 200)
    {
        std::string id = random_id(random);
        checker.job(id) = job;
        const auto status = cluster.submit(daemon, id, job);
        CPPUNIT_ASSERT(status.has_value());
        CPPUNIT_ASSERT_EQUAL(expected_status, *status);
        checker.job(id).accepted = true;
        checker.job(id).all_refused = false;
        return id;
    }

    bool completes(int daemon, const std::string& id, milliseconds limit)
    {
        return wait_until(
            [&] { return cluster.state(daemon, id) == "completed"; }, limit);
    }

    // The number of the leader, found in the logs; -1 if there is none within
    // 5 s.
    int leader()
    {
        int found = -1;
        wait_until(
            [&]
            {
                for (int i = 0; i < cluster.daemons() && found < 0; ++i)
                {
                    const bool leads =
                        cluster.daemon(i).output().find(
                            "event=\"Takeover finished\"") != std::string::npos;
                    found = leads ? i : -1;
                }
                return found >= 0;
            },
            milliseconds(5000));
        return found;
    }

    void check()
    {
        checker.apply(cluster.take_events());
        checker.finish();
        CPPUNIT_ASSERT_EQUAL(std::string(), checker.violations().empty()
                                                ? std::string()
                                                : checker.violations().front());
    }

    std::mt19937_64 random{7};
    cell_cluster cluster;
    history_checker checker;
};

} // namespace

class cell_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cell_test);
    CPPUNIT_TEST(cell_job_is_completed_and_shown_by_every_daemon);
    CPPUNIT_TEST(cell_job_submitted_twice_runs_once);
    CPPUNIT_TEST(cell_cancelled_job_stops);
    CPPUNIT_TEST(cell_job_cancelled_while_its_daemon_is_frozen_never_runs);
    CPPUNIT_TEST(cell_unknown_job_is_answered_410);
    CPPUNIT_TEST(cell_leader_killed_jobs_complete);
    CPPUNIT_TEST(cell_leader_stopped_hands_over);
    CPPUNIT_TEST(cell_all_daemons_killed_running_tasks_are_adopted);
    CPPUNIT_TEST(cell_store_refuses_daemon_peer_stores_job);
    CPPUNIT_TEST(cell_store_down_job_is_refused_at_once);
    CPPUNIT_TEST(cell_planned_stop_ends_in_time);
    CPPUNIT_TEST(cell_daemon_cut_from_store_gets_catalogue_from_one_peer);
    CPPUNIT_TEST_SUITE_END();

public:
    void cell_job_is_completed_and_shown_by_every_daemon()
    {
        running_cell cell("completed");
        const std::string id = cell.submit(0, short_job());
        for (int i = 0; i < cell.cluster.daemons(); ++i)
        {
            CPPUNIT_ASSERT(cell.completes(i, id, milliseconds(5000)));
        }
        cell.check();
        CPPUNIT_ASSERT(cell.checker.done(id));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, cell.checker.starts());
    }

    void cell_job_submitted_twice_runs_once()
    {
        running_cell cell("twice");
        const std::string id = cell.submit(0, short_job());
        CPPUNIT_ASSERT_EQUAL(200,
                             *cell.cluster.submit(1, id, cell.checker.job(id)));
        CPPUNIT_ASSERT(cell.completes(2, id, milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(200,
                             *cell.cluster.submit(2, id, cell.checker.job(id)));
        std::this_thread::sleep_for(milliseconds(500));
        cell.check();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, cell.checker.starts());
    }

    void cell_cancelled_job_stops()
    {
        running_cell cell("cancelled");
        const std::string id = cell.submit(0, short_job(2, 60000));
        CPPUNIT_ASSERT(
            wait_until([&] { return cell.cluster.state(0, id) == "running"; },
                       milliseconds(5000)));
        CPPUNIT_ASSERT_EQUAL(200, *cell.cluster.cancel(1, id));
        CPPUNIT_ASSERT(
            wait_until([&] { return cell.cluster.state(2, id) == "cancelled"; },
                       milliseconds(3000)));
        cell.check();
    }

    // Guards against review/8: the submission waits at a frozen daemon, and is
    // stored after its cancellation was answered elsewhere.
    void cell_job_cancelled_while_its_daemon_is_frozen_never_runs()
    {
        running_cell cell("cancelled-while-frozen");
        const int frozen = (cell.leader() + 1) % cell.cluster.daemons();
        const int other = (frozen + 1) % cell.cluster.daemons();
        const std::string id = random_id(cell.random);
        cell.checker.job(id) = short_job();
        cell.cluster.daemon(frozen).send_signal(SIGSTOP);
        CPPUNIT_ASSERT(!cell.cluster.submit(frozen, id, cell.checker.job(id)));
        CPPUNIT_ASSERT_EQUAL(410, *cell.cluster.cancel(other, id));
        cell.cluster.daemon(frozen).send_signal(SIGCONT);
        std::this_thread::sleep_for(milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::string("410"), cell.cluster.state(other, id));
        cell.check();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.checker.starts());
        // The same id again is refused, another one is accepted.
        CPPUNIT_ASSERT_EQUAL(
            409, *cell.cluster.submit(frozen, id, cell.checker.job(id)));
        const std::string next = cell.submit(frozen, short_job());
        CPPUNIT_ASSERT(cell.completes(other, next, milliseconds(5000)));
    }

    void cell_unknown_job_is_answered_410()
    {
        running_cell cell("unknown");
        CPPUNIT_ASSERT_EQUAL(std::string("410"),
                             cell.cluster.state(0, "0123456789abcdef"));
        CPPUNIT_ASSERT_EQUAL(410, *cell.cluster.cancel(0, "0123456789abcdef"));
    }

    // Guards against work that is lost, or started twice, by a new leader.
    void cell_leader_killed_jobs_complete()
    {
        running_cell cell("leader-killed");
        const std::string id = cell.submit(0, short_job(4, 1500));
        std::this_thread::sleep_for(milliseconds(700));
        const int leader = cell.leader();
        CPPUNIT_ASSERT(leader >= 0);
        cell.cluster.daemon(leader).kill();
        const int other = (leader + 1) % cell.cluster.daemons();
        const std::string next = cell.submit(other, short_job());
        CPPUNIT_ASSERT(cell.completes(other, next, milliseconds(6000)));
        CPPUNIT_ASSERT(cell.completes(other, id, milliseconds(10000)));
        cell.check();
    }

    void cell_leader_stopped_hands_over()
    {
        running_cell cell("leader-stopped");
        const int leader = cell.leader();
        CPPUNIT_ASSERT(leader >= 0);
        cell.cluster.daemon(leader).send_signal(SIGTERM);
        const int other = (leader + 1) % cell.cluster.daemons();
        const std::string id = cell.submit(other, short_job());
        CPPUNIT_ASSERT(cell.completes(other, id, milliseconds(4000)));
        cell.check();
    }

    void cell_all_daemons_killed_running_tasks_are_adopted()
    {
        running_cell cell("all-killed");
        const std::string id = cell.submit(0, short_job(3, 2500));
        std::this_thread::sleep_for(milliseconds(700));
        for (int i = 0; i < cell.cluster.daemons(); ++i)
        {
            cell.cluster.daemon(i).kill();
        }
        for (int i = 0; i < cell.cluster.daemons(); ++i)
        {
            cell.cluster.start_daemon(i);
        }
        CPPUNIT_ASSERT(cell.cluster.wait_ready(milliseconds(10000)));
        CPPUNIT_ASSERT(cell.completes(0, id, milliseconds(15000)));
        cell.check();
        // Two steps of three tasks: running tasks were adopted, not restarted.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, cell.checker.starts());
    }

    // Guards against a daemon that refuses a job although a peer could store
    // it.
    void cell_store_refuses_daemon_peer_stores_job()
    {
        running_cell cell("store-refuses-daemon");
        const int leader = cell.leader();
        const int refused = (leader + 1) % cell.cluster.daemons();
        cell.cluster.store_faults(refused, {{"busy", true}});
        const std::string id = cell.submit(refused, short_job());
        CPPUNIT_ASSERT(cell.completes(refused, id, milliseconds(5000)));
        cell.check();
    }

    // Guards against callers that wait for a store which is down.
    void cell_store_down_job_is_refused_at_once()
    {
        running_cell cell("store-down");
        for (int i = 0; i < cell.cluster.daemons(); ++i)
        {
            cell.cluster.store_faults(i, {{"busy", true}});
        }
        std::this_thread::sleep_for(milliseconds(300));
        const std::string id = random_id(cell.random);
        cell.checker.job(id) = short_job();
        const auto start = steady::now();
        CPPUNIT_ASSERT_EQUAL(503,
                             *cell.cluster.submit(0, id, cell.checker.job(id)));
        CPPUNIT_ASSERT(steady::now() - start < milliseconds(2000));
        for (int i = 0; i < cell.cluster.daemons(); ++i)
        {
            cell.cluster.store_faults(i, nlohmann::json::object());
        }
        CPPUNIT_ASSERT(wait_until(
            [&]
            {
                const auto again = random_id(cell.random);
                cell.checker.job(again) = short_job();
                cell.checker.job(again).all_refused = false;
                return cell.cluster.submit(0, again, cell.checker.job(again)) ==
                       200;
            },
            milliseconds(4000)));
        cell.check();
    }

    void cell_planned_stop_ends_in_time()
    {
        running_cell cell("planned-stop");
        cell.cluster.daemon(1).send_signal(SIGTERM);
        const auto status = cell.cluster.daemon(1).wait(milliseconds(6000));
        CPPUNIT_ASSERT(status.has_value());
        CPPUNIT_ASSERT_EQUAL(0, *status);
    }

    // Guards against catalogue copies from every peer, which saturate the links
    // of a large cell.
    void cell_daemon_cut_from_store_gets_catalogue_from_one_peer()
    {
        running_cell cell("catalogue");
        cell.cluster.cut_store(2, true);
        const int version = cell.cluster.change_config();
        const std::string applied =
            "event=\"Catalogue in force\" version=" + std::to_string(version) +
            " from=peer";
        CPPUNIT_ASSERT(wait_until(
            [&] {
                return cell.cluster.daemon(2).output().find(applied) !=
                       std::string::npos;
            },
            milliseconds(2500)));
        // Time for several more status messages from each peer.
        std::this_thread::sleep_for(milliseconds(1000));
        int copies = 0;
        for (int i = 0; i < 2; ++i)
        {
            const std::string& output = cell.cluster.daemon(i).output();
            const std::string sent = "event=\"Catalogue sent to a peer\"";
            for (auto at = output.find(sent); at != std::string::npos;
                 at = output.find(sent, at + 1))
            {
                ++copies;
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, copies);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_test);

} // namespace coltsfootrack::soak
