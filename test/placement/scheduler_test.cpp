// Tests of submission, order, slices and gangs: no job is placed out of order,
// above its team's slice or twice, and no gang starts in part.

#include "zone_driver.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace coltsfootrack::placement
{
namespace
{

constexpr base::resources small{1000, 1024, 0};
constexpr base::resources node{8000, 8192, 0};
constexpr base::resources plenty{1000000, 1000000, 1000};

} // namespace

class scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scheduler_test);
    CPPUNIT_TEST(submit_impossible_job_names_the_reason);
    CPPUNIT_TEST(submit_bad_field_is_invalid_request);
    CPPUNIT_TEST(submit_full_queue_refuses_but_keeps_room_for_urgent);
    CPPUNIT_TEST(submit_twice_is_refused);
    CPPUNIT_TEST(step_order_is_urgent_service_batch);
    CPPUNIT_TEST(step_teams_follow_weighted_shares);
    CPPUNIT_TEST(step_sending_a_stop_releases_nothing);
    CPPUNIT_TEST(report_with_old_token_changes_nothing);
    CPPUNIT_TEST(gang_without_room_for_all_books_nothing);
    CPPUNIT_TEST(gang_with_failed_task_restarts_as_a_whole);
    CPPUNIT_TEST(quota_lowered_stops_latest_batch_first);
    CPPUNIT_TEST(worker_leaving_is_emptied_and_gets_nothing_new);
    CPPUNIT_TEST(worker_lost_keeps_bookings_until_removed);
    CPPUNIT_TEST(rack_spread_uses_all_racks);
    CPPUNIT_TEST(complete_is_issued_once_after_the_last_task);
    CPPUNIT_TEST(equal_calls_give_equal_actions);
    CPPUNIT_TEST_SUITE_END();

    static base::error_kind refused(const absl::Status& status)
    {
        CPPUNIT_ASSERT(!status.ok());
        return base::kind_of(status);
    }

    static bool mentions(std::string_view text, std::string_view part)
    {
        return text.find(part) != std::string_view::npos;
    }

public:
    // Guards against jobs that wait forever, and against refusals that do not
    // say what to change.
    void submit_impossible_job_names_the_reason()
    {
        zone_driver driver;
        driver.add_team("a", {16000, 16384, 0});
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        const auto reason = [&driver](const job_spec& spec)
        {
            const absl::Status status = driver.submit(spec);
            CPPUNIT_ASSERT(refused(status) == base::error_kind::impossible_job);
            return std::string(status.message());
        };
        CPPUNIT_ASSERT(mentions(
            reason(zone_driver::job("j1", "a", job_kind::batch, {9000, 1, 0})),
            "no worker"));
        CPPUNIT_ASSERT(
            mentions(reason(zone_driver::job("j2", "a", job_kind::gang,
                                             {5000, 1024, 0}, 3)),
                     "together"));
        driver.add_worker("w3", node);
        CPPUNIT_ASSERT(mentions(
            reason(zone_driver::job("j3", "a", job_kind::service, small, 17)),
            "upper limit"));
        // A batch job can run one task after another.
        CPPUNIT_ASSERT(
            driver
                .submit(zone_driver::job("j4", "a", job_kind::batch, small, 17))
                .ok());
    }

    // Guards against invalid input that reaches the resource arithmetic.
    void submit_bad_field_is_invalid_request()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        std::vector<job_spec> bad(
            6, zone_driver::job("j", "a", job_kind::batch, small));
        bad[0].task_count = 0;
        bad[1].task_count = UINT32_MAX;
        bad[2].task_size.memory_mb = -1;
        bad[3].task_size = {};
        bad[4].task_size.cpu_milli = INT64_MAX;
        bad[5].run_time = std::chrono::seconds(-1);
        for (const job_spec& spec : bad)
        {
            CPPUNIT_ASSERT(refused(driver.submit(spec)) ==
                           base::error_kind::invalid_request);
        }
        CPPUNIT_ASSERT(refused(driver.submit(zone_driver::job(
                           "j", "nobody", job_kind::batch, small))) ==
                       base::error_kind::limit_reached);
    }

    // Guards against a queue that grows without bound, and against batch work
    // that fills it so that urgent work is refused.
    void submit_full_queue_refuses_but_keeps_room_for_urgent()
    {
        scheduler_options options;
        options.max_queued_jobs = 5;
        options.queued_jobs_reserved_for_urgent = 2;
        options.max_queued_jobs_per_team = 2;
        zone_driver driver(options);
        driver.add_team("a", plenty);
        driver.add_team("b", plenty);
        const auto submit = [&driver](const std::string& name,
                                      const std::string& team, bool urgent)
        {
            job_spec spec =
                zone_driver::job(name, team, job_kind::batch, small);
            spec.urgent = urgent;
            return driver.submit(spec);
        };
        CPPUNIT_ASSERT(submit("j1", "a", false).ok());
        CPPUNIT_ASSERT(submit("j2", "a", false).ok());
        CPPUNIT_ASSERT(refused(submit("j3", "a", false)) ==
                       base::error_kind::queue_full);
        CPPUNIT_ASSERT(submit("j4", "b", false).ok());
        CPPUNIT_ASSERT(refused(submit("j5", "b", false)) ==
                       base::error_kind::queue_full);
        CPPUNIT_ASSERT(submit("j6", "b", true).ok());
    }

    // Guards against two jobs with one id.
    void submit_twice_is_refused()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        const job_spec spec =
            zone_driver::job("j", "a", job_kind::batch, small);
        CPPUNIT_ASSERT(driver.submit(spec).ok());
        CPPUNIT_ASSERT(refused(driver.submit(spec)) ==
                       base::error_kind::already_exists);
    }

    // Guards against batch work that is placed before services or urgent work.
    void step_order_is_urgent_service_batch()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", {2000, 8192, 0});
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("b", "a", job_kind::batch, small))
                .ok());
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("s", "a", job_kind::service, small))
                .ok());
        job_spec urgent = zone_driver::job("u", "a", job_kind::batch, small);
        urgent.urgent = true;
        CPPUNIT_ASSERT(driver.submit(urgent).ok());
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), actions.size());
        CPPUNIT_ASSERT_EQUAL(std::string("u"), actions[0].task.job.text());
        CPPUNIT_ASSERT_EQUAL(std::string("s"), actions[1].task.job.text());
    }

    // Guards against shares that ignore weights or the dominant resource.
    void step_teams_follow_weighted_shares()
    {
        zone_driver driver;
        driver.add_team("a", plenty, 1);
        driver.add_team("b", plenty, 3);
        driver.add_team("c", plenty, 1);
        driver.add_worker("w1", {20000, 20000, 0});
        // Memory is the dominant resource of c, with twice the share of its
        // processors.
        CPPUNIT_ASSERT(driver
                           .submit(zone_driver::job("ja", "a", job_kind::batch,
                                                    {1000, 1, 0}, 50))
                           .ok());
        CPPUNIT_ASSERT(driver
                           .submit(zone_driver::job("jb", "b", job_kind::batch,
                                                    {1000, 1, 0}, 50))
                           .ok());
        CPPUNIT_ASSERT(driver
                           .submit(zone_driver::job("jc", "c", job_kind::batch,
                                                    {500, 1000, 0}, 50))
                           .ok());
        driver.step();
        for (const team_counters& team : driver.zone.counters().teams)
        {
            // x + 3x + x/2 = 20 processors, since c counts by its memory.
            const std::size_t expected = team.team.text() == "b" ? 13 : 4;
            CPPUNIT_ASSERT(team.running_tasks >= expected - 1 &&
                           team.running_tasks <= expected + 1);
        }
    }

    // Guards against room that is used twice while a task is still stopping.
    void step_sending_a_stop_releases_nothing()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j1", "a", job_kind::batch, node))
                .ok());
        driver.step();
        CPPUNIT_ASSERT(driver.zone.cancel(base::job_id("j1")).ok());
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j2", "a", job_kind::batch, node))
                .ok());
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].type == action_type::stop);
        CPPUNIT_ASSERT(actions[0].reason == stop_reason::cancelled);
        CPPUNIT_ASSERT(driver.zone.explain(base::job_id("j1")).state ==
                       job_state::ending);
        driver.advance(std::chrono::minutes(5));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("j1")));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1),
            zone_driver::count(driver.step(), action_type::start));
    }

    // Guards against a late report that ends the wrong start of a task.
    void report_with_old_token_changes_nothing()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small))
                .ok());
        driver.step();
        const base::task_id task = zone_driver::task("j");
        const std::string old = driver.running.at(task).token;
        CPPUNIT_ASSERT(driver.stop(task));
        driver.step();
        CPPUNIT_ASSERT(driver.running.at(task).token != old);
        CPPUNIT_ASSERT(!driver.zone.report_finished(task, old, driver.now));
        CPPUNIT_ASSERT(!driver.zone.report_failed(task, old, "", driver.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().running_tasks);
    }

    // Guards against a gang that holds workers while it waits.
    void gang_without_room_for_all_books_nothing()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        driver.add_worker("w2", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("b", "a", job_kind::service, small))
                .ok());
        driver.step();
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("g", "a", job_kind::gang, node, 2))
                .ok());
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             driver.zone.counters().running_tasks);
        CPPUNIT_ASSERT(driver.zone.cancel(base::job_id("b")).ok());
        driver.step();
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("b")));
        // A gang may exceed max_actions, since it starts as a whole.
        const std::vector<action> actions = driver.zone.step(driver.now, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             zone_driver::count(actions, action_type::start));
    }

    // Guards against a gang that goes on without one of its tasks.
    void gang_with_failed_task_restarts_as_a_whole()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        for (const char* name : {"w1", "w2", "w3", "w4"})
        {
            driver.add_worker(name, node);
        }
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("g", "a", job_kind::gang, node, 3))
                .ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), driver.step().size());
        CPPUNIT_ASSERT(driver.fail(zone_driver::task("g", 1)));
        const std::vector<action> stops = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             zone_driver::count(stops, action_type::stop));
        CPPUNIT_ASSERT(stops[0].reason == stop_reason::gang_broken);
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("g", 0)));
        driver.advance(std::chrono::seconds(2));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("g", 2)));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(3),
            zone_driver::count(driver.step(), action_type::start));
    }

    // Guards against a team above its lowered slice, and against stopping
    // services while batch work runs.
    void quota_lowered_stops_latest_batch_first()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("s", "a", job_kind::service, small))
                .ok());
        for (const char* name : {"b1", "b2", "b3"})
        {
            CPPUNIT_ASSERT(
                driver
                    .submit(zone_driver::job(name, "a", job_kind::batch, small))
                    .ok());
            driver.step();
            driver.advance(std::chrono::seconds(1));
        }
        driver.zone.set_quota(base::team_id("a"), {2000, 8192, 0});
        const std::vector<action> stops = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), stops.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b3"), stops[0].task.job.text());
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), stops[1].task.job.text());
        CPPUNIT_ASSERT(stops[0].reason == stop_reason::over_slice);
    }

    // Guards against new work on a worker that is about to disappear.
    void worker_leaving_is_emptied_and_gets_nothing_new()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small))
                .ok());
        driver.step();
        driver.zone.set_worker_state(base::worker_id("w1"),
                                     worker_state::leaving);
        const std::vector<action> stops = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stops.size());
        CPPUNIT_ASSERT(stops[0].reason == stop_reason::worker_leaving);
        CPPUNIT_ASSERT(driver.stop(zone_driver::task("j")));
        CPPUNIT_ASSERT(driver.step().empty());
        driver.add_worker("w2", node);
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), driver.worker_of("j"));
    }

    // Guards against a second copy of a task that may still run on a worker
    // that does not answer.
    void worker_lost_keeps_bookings_until_removed()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small))
                .ok());
        driver.step();
        driver.add_worker("w2", node);
        driver.zone.set_worker_state(base::worker_id("w1"), worker_state::lost);
        driver.advance(std::chrono::minutes(10));
        CPPUNIT_ASSERT(driver.step().empty());
        driver.zone.remove_worker(base::worker_id("w1"));
        driver.step();
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), driver.worker_of("j"));
    }

    // Guards against a service that is lost with one rack.
    void rack_spread_uses_all_racks()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6"})
        {
            driver.add_worker(name, node, std::string("r") + name[1]);
        }
        job_spec spec = zone_driver::job("s", "a", job_kind::service, small, 6);
        spec.rack_spread = true;
        CPPUNIT_ASSERT(driver.submit(spec).ok());
        std::set<std::string> workers;
        for (const action& started : driver.step())
        {
            workers.insert(started.worker.text());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), workers.size());
    }

    // Guards against job records that are never ended in the store.
    void complete_is_issued_once_after_the_last_task()
    {
        zone_driver driver;
        driver.add_team("a", plenty);
        driver.add_worker("w1", node);
        CPPUNIT_ASSERT(
            driver.submit(zone_driver::job("j", "a", job_kind::batch, small, 2))
                .ok());
        driver.step();
        CPPUNIT_ASSERT(driver.finish(zone_driver::task("j", 1)));
        CPPUNIT_ASSERT(driver.step().empty());
        CPPUNIT_ASSERT(driver.finish(zone_driver::task("j", 0)));
        const std::vector<action> actions = driver.step();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].type == action_type::complete);
        CPPUNIT_ASSERT(driver.zone.explain(base::job_id("j")).state ==
                       job_state::unknown);
    }

    // Guards against decisions that depend on hash or registration order.
    void equal_calls_give_equal_actions()
    {
        std::vector<std::vector<std::string>> runs;
        for (const bool reversed : {false, true})
        {
            zone_driver driver;
            driver.add_team("a", plenty);
            driver.add_team("b", plenty);
            std::vector<std::string> names{"w1", "w2", "w3", "w4", "w5"};
            if (reversed)
            {
                std::reverse(names.begin(), names.end());
            }
            for (const std::string& name : names)
            {
                driver.add_worker(name, node);
            }
            for (const char* team : {"a", "b"})
            {
                CPPUNIT_ASSERT(driver
                                   .submit(zone_driver::job(
                                       std::string("j") + team, team,
                                       job_kind::batch, {3000, 1000, 0}, 6))
                                   .ok());
            }
            std::vector<std::string> run;
            for (const action& started : driver.step())
            {
                run.push_back(started.task.job.text() + " " +
                              started.worker.text());
            }
            runs.push_back(run);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), runs[0].size());
        CPPUNIT_ASSERT(runs[0] == runs[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

} // namespace coltsfootrack::placement
