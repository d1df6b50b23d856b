// Queues that move to another service. Guards against a new leader that starts
// a task on the new service while a former leader's run is at work on the
// former one (review/11).

#include "fleet_fixture.hpp"

#include <coltsfootrack/jobs/job_progress.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::service_id former("s");
const base::service_id next("t");

// The queue is on `former` at first.
class moved_queue_fixture : public fleet_fixture
{
public:
    using fleet_fixture::fleet_fixture;

    void move_queue(const base::service_id& service)
    {
        queue_.service = service;
        apply();
    }

    // A job that was accepted while the queue was on this service.
    void accept_job(const std::string& id, const base::service_id& service,
                    bool inherited, const jobs::job_progress& progress = {},
                    bool standing = false)
    {
        jobs::job_submission job;
        job.queue = queue_.name;
        job.submitted = wall();
        job.service = service;
        job.spec.payload = "p";
        job.spec.steps = {step(1, 1000)};
        job.spec.steps[0].standing = standing;
        fleet_.add_job(base::job_id(id), job, progress, inherited, now_,
                       wall());
    }

    void add_worker_of(const base::service_id& service, const std::string& id)
    {
        worker_listing listing;
        listing.worker = base::worker_id(id);
        listing.service = service;
        listing.capacity = {4000, 100000, 0};
        fleet_.list_worker(listing, now_);
    }
};

// Stored after a start of the job on another service than at first.
jobs::job_progress progress_on(const base::service_id& service)
{
    jobs::job_progress progress;
    progress.services.add(service);
    return progress;
}

} // namespace

class moved_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moved_queue_test);
    CPPUNIT_TEST(inherited_task_waits_for_worker_of_former_service);
    CPPUNIT_TEST(inherited_standing_task_waits_for_worker_of_former_service);
    CPPUNIT_TEST(inherited_task_waits_for_worker_of_any_service_between);
    CPPUNIT_TEST(inherited_task_waits_for_silent_worker_until_it_is_lost);
    CPPUNIT_TEST(inherited_task_of_unknown_service_waits_for_every_worker);
    CPPUNIT_TEST(inherited_task_waits_for_worker_listed_under_other_service);
    CPPUNIT_TEST(inherited_task_does_not_wait_for_worker_of_other_service);
    CPPUNIT_TEST(task_starts_on_new_service_once_that_is_stored);
    CPPUNIT_TEST(task_starts_on_service_that_the_row_names_without_a_write);
    CPPUNIT_TEST(job_that_moved_too_often_may_be_on_any_service);
    CPPUNIT_TEST_SUITE_END();

public:
    void inherited_task_waits_for_worker_of_former_service()
    {
        moved_queue_fixture f(2);
        f.move_queue(next);
        f.add_worker_of(former, "w");
        f.add_worker_of(next, "v");
        f.report("v");
        f.accept_job("a", former, true);
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w", {running(fleet_fixture::task("a", 0), 1)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void inherited_standing_task_waits_for_worker_of_former_service()
    {
        moved_queue_fixture f(2);
        f.move_queue(next);
        f.add_worker_of(former, "w");
        f.add_worker_of(next, "v");
        f.report("v");
        f.accept_job("a", former, true, {}, true);
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w");
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // The queue has moved twice, and the task was started after the first time.
    void inherited_task_waits_for_worker_of_any_service_between()
    {
        moved_queue_fixture f(3);
        f.move_queue(base::service_id("u"));
        f.add_worker_of(next, "w");
        f.add_worker_of(base::service_id("u"), "v");
        f.report("v");
        f.accept_job("a", former, true, progress_on(next));
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w");
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against work that is lost: the wait has an end.
    void inherited_task_waits_for_silent_worker_until_it_is_lost()
    {
        moved_queue_fixture f(2);
        f.move_queue(next);
        f.add_worker_of(former, "w");
        f.add_worker_of(next, "v");
        f.report("v");
        f.accept_job("a", former, true);
        f.run_round();
        f.save_all();
        f.advance(milliseconds(11000));
        f.fail_renewals("w", 2);
        f.report("v");
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(1000));
        f.fail_renewals("w", 2);
        f.report("v");
        f.run_round();
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // A row of a former version does not name the service.
    void inherited_task_of_unknown_service_waits_for_every_worker()
    {
        moved_queue_fixture f(2);
        f.move_queue(next);
        f.add_worker_of(former, "w");
        f.add_worker_of(next, "v");
        f.report("v");
        f.accept_job("a", base::service_id(), true);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // The entry of the worker has changed, as another writer may leave it.
    void inherited_task_waits_for_worker_listed_under_other_service()
    {
        moved_queue_fixture f(2);
        worker_listing used;
        used.worker = base::worker_id("w");
        used.service = former;
        f.fleet_.expect_workers({used}, f.now_);
        f.add_worker_of(next, "w");
        f.add_worker_of(former, "v");
        f.report("v");
        f.accept_job("a", former, true);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Guards against a wait for the workers of all services.
    void inherited_task_does_not_wait_for_worker_of_other_service()
    {
        moved_queue_fixture f(2);
        f.add_worker_of(next, "w");
        f.add_worker_of(former, "v");
        f.report("v");
        f.accept_job("a", former, true);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    // Without the write, a leader that takes over after another move would not
    // look for the run.
    void task_starts_on_new_service_once_that_is_stored()
    {
        moved_queue_fixture f;
        f.add_worker_of(next, "v");
        f.report("v");
        f.accept_job("a", former, false);
        f.run_round();
        f.move_queue(next);
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.saves.size());
        CPPUNIT_ASSERT(f.saves[0].urgent);
        const auto stored = jobs::decode_progress(f.saves[0].text);
        CPPUNIT_ASSERT(stored->services == progress_on(next).services);
        f.fleet_.on_save_failed(base::job_id("a"));
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.save_all();
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
    }

    void task_starts_on_service_that_the_row_names_without_a_write()
    {
        moved_queue_fixture f;
        f.add_worker_of(former, "v");
        f.report("v");
        f.accept_job("a", former, false);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.starts.size());
        CPPUNIT_ASSERT(f.saves.empty());
    }

    // Guards against a row that grows with each move of a queue.
    void job_that_moved_too_often_may_be_on_any_service()
    {
        jobs::service_set services;
        for (std::size_t i = 0; i < jobs::service_set::max_names; ++i)
        {
            const base::service_id service(std::to_string(i));
            CPPUNIT_ASSERT(services.add(service));
            CPPUNIT_ASSERT(!services.add(service));
        }
        CPPUNIT_ASSERT(!services.contains(former));
        CPPUNIT_ASSERT(services.add(next));
        CPPUNIT_ASSERT(services.is_any() && services.names().empty());
        CPPUNIT_ASSERT(services.contains(former));
        jobs::service_set long_name;
        long_name.add(base::service_id(
            std::string(jobs::service_set::max_name_bytes + 1, 'x')));
        CPPUNIT_ASSERT(long_name.is_any());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(moved_queue_test);

} // namespace coltsfootrack::fleet
