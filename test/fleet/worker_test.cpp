// Tests of how worker reports, or their absence, affect the runs of a worker.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// A fleet with one task that runs on w1, beside an idle w2.
class running_fixture : public fleet_fixture
{
public:
    running_fixture()
    {
        add_worker("w1", 1000);
        report("w1");
        add_job("job", {step(1, 1000)});
        step_and_confirm();
        add_worker("w2", 1000);
        report("w2");
    }

    void step_and_confirm()
    {
        run_round();
        confirm_starts();
    }

    using fleet_fixture::step;
};

} // namespace

class worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_test);
    CPPUNIT_TEST(worker_replaced_at_its_address_loses_its_runs_at_once);
    CPPUNIT_TEST(worker_unresponsive_keeps_its_runs_until_the_lease_expires);
    CPPUNIT_TEST(worker_replaced_that_answers_again_is_used);
    CPPUNIT_TEST(report_overtaken_by_newer_one_is_ignored);
    CPPUNIT_TEST(report_of_earlier_life_is_ignored);
    CPPUNIT_TEST(start_without_answer_is_uncertain_until_listed);
    CPPUNIT_TEST(start_without_answer_and_stopped_is_uncertain_until_seen_gone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against waiting for a lease that nobody holds any more: 5 s for
    // each task of a worker whose address was reassigned to another service.
    void worker_replaced_at_its_address_loses_its_runs_at_once()
    {
        running_fixture f;
        f.fleet_.on_replaced(base::worker_id("w1"));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), f.starts[1].worker.text());
    }

    void worker_unresponsive_keeps_its_runs_until_the_lease_expires()
    {
        running_fixture f;
        f.fleet_.on_renewal_failed(base::worker_id("w1"), f.now_, true);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
    }

    void worker_replaced_that_answers_again_is_used()
    {
        running_fixture f;
        f.fleet_.on_replaced(base::worker_id("w1"));
        f.run_round();
        f.report("w1", {}, {}, 2);
        f.add_job("other", {running_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), f.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), f.starts[2].worker.text());
    }

    // Guards against a run that is mistaken for a new one after its end,
    // because an older report arrived later.
    void report_overtaken_by_newer_one_is_ignored()
    {
        running_fixture f;
        worker_report older;
        older.life = 1;
        older.clock = std::chrono::duration_cast<milliseconds>(
            f.now_ - base::time_point());
        older.sent_at = f.now_;
        older.running = {{fleet_fixture::task("job", 0), 1, "", 50, 0}};
        f.advance(milliseconds(10));
        f.report("w1", {},
                 {{1, fleet_fixture::task("job", 0), 1, end_kind::failed, ""}});
        f.run_round();
        f.confirm_starts();
        const std::size_t starts = f.starts.size();
        f.fleet_.on_report(base::worker_id("w1"), older, f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(starts, f.starts.size());
        CPPUNIT_ASSERT(f.stops.empty());
    }

    void report_of_earlier_life_is_ignored()
    {
        running_fixture f;
        f.advance(milliseconds(10));
        f.report("w1", {}, {}, 5);
        f.run_round();
        f.confirm_starts();
        const std::size_t starts = f.starts.size();
        f.report("w1", {{fleet_fixture::task("job", 0), 1, "", 50, 0}}, {}, 1);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(starts, f.starts.size());
    }

    void start_without_answer_is_uncertain_until_listed()
    {
        fleet_fixture f;
        f.add_worker("w1", 1000);
        f.report("w1");
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.fleet_.on_start(base::worker_id("w1"), fleet_fixture::task("job", 0),
                          f.starts[0].run, order_outcome::unknown, f.now_);
        CPPUNIT_ASSERT(f.fleet_.has_uncertain_start(base::worker_id("w1")));
        f.advance(milliseconds(10));
        f.report("w1",
                 {{fleet_fixture::task("job", 0), f.starts[0].run, "", 1, 0}});
        CPPUNIT_ASSERT(!f.fleet_.has_uncertain_start(base::worker_id("w1")));
    }

    void start_without_answer_and_stopped_is_uncertain_until_seen_gone()
    {
        fleet_fixture f;
        f.add_worker("w1", 1000);
        f.report("w1");
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.fleet_.on_start(base::worker_id("w1"), fleet_fixture::task("job", 0),
                          f.starts[0].run, order_outcome::unknown, f.now_);
        f.advance(milliseconds(10));
        f.report("w1");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.stops.size());
        f.fleet_.on_stop(base::worker_id("w1"), fleet_fixture::task("job", 0),
                         f.starts[0].run, order_outcome::carried_out, f.now_);
        CPPUNIT_ASSERT(f.fleet_.has_uncertain_start(base::worker_id("w1")));
        f.advance(milliseconds(10));
        f.report("w1");
        CPPUNIT_ASSERT(!f.fleet_.has_uncertain_start(base::worker_id("w1")));
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_test);

} // namespace coltsfootrack::fleet
