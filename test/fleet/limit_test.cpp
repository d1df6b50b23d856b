// Limits of teams while a new leader does not know all runs. Guards against
// starts above a limit after a takeover: new jobs were started before the last
// worker reported, which ran tasks of the same team.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// A team limited to one and a half cores, and two workers of one core, the
// second of which has not reported yet.
class limited_fixture : public fleet_fixture
{
public:
    limited_fixture()
    {
        team_.team = base::team_id("t");
        team_.limit = {1500, 0, 0};
        apply();
        add_worker("w1", 1000);
        add_worker("w2", 1000);
        report("w1");
    }
};

} // namespace

class limit_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limit_test);
    CPPUNIT_TEST(limit_counts_what_may_run_on_an_unknown_worker);
    CPPUNIT_TEST(limit_with_headroom_does_not_wait_for_an_unknown_worker);
    CPPUNIT_TEST(limit_counts_a_worker_with_runs_of_an_unknown_job);
    CPPUNIT_TEST(limit_does_not_count_run_whose_lease_has_expired);
    CPPUNIT_TEST(limit_does_not_count_unknown_worker_without_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    void limit_counts_what_may_run_on_an_unknown_worker()
    {
        limited_fixture f;
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.report("w2");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
    }

    void limit_with_headroom_does_not_wait_for_an_unknown_worker()
    {
        limited_fixture f;
        f.team_.limit = {5000, 0, 0};
        f.apply();
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
    }

    void limit_counts_a_worker_with_runs_of_an_unknown_job()
    {
        limited_fixture f;
        f.report("w2", {{fleet_fixture::task("unknown", 0), 1, "", 50, 0}});
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
    }

    // Guards against a team that starts nothing while a worker with its runs
    // does not answer. An expired lease proves that nothing runs there; only a
    // second start of the same task needs evidence that no end is unread.
    void limit_does_not_count_run_whose_lease_has_expired()
    {
        limited_fixture f;
        f.report("w2");
        // The first report may be of a life that a former leader has granted
        // the longest lease.
        f.advance(milliseconds(6000));
        f.report("w1");
        f.report("w2");
        f.add_job("a", {fleet_fixture::step(1, 1000)});
        f.run_round();
        f.confirm_starts();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
        const base::worker_id cut_off = f.starts[0].worker;
        const std::string other =
            cut_off == base::worker_id("w1") ? "w2" : "w1";
        f.fleet_.grant_lease(cut_off, f.now_);
        f.add_job("b", {fleet_fixture::step(1, 1000)});
        f.fail_renewals(cut_off.text(), 1, false);
        f.advance(milliseconds(5000));
        f.report(other);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
        // 2% for a slow clock on the worker, and a margin.
        f.advance(milliseconds(250));
        f.fail_renewals(cut_off.text(), 1, false);
        f.report(other);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.starts.size());
        CPPUNIT_ASSERT(f.starts[1].task == fleet_fixture::task("b", 0));
    }

    // Guards against teams that start nothing while a worker has not reported,
    // although no lease of a former leader can be in force there any more.
    void limit_does_not_count_unknown_worker_without_lease()
    {
        limited_fixture f;
        f.add_job("job", {fleet_fixture::step(1, 1000)});
        f.advance(milliseconds(23800));
        f.fail_renewals("w2", 1, false);
        f.report("w1");
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.advance(milliseconds(100));
        f.fail_renewals("w2", 1, false);
        f.report("w1");
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_test);

} // namespace coltsfootrack::fleet
