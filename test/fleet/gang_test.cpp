// Guards against gangs that run in part: members that hold room while another
// has not started or has ended.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
class gang_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gang_test);
    CPPUNIT_TEST(gang_starts_together_or_not_at_all);
    CPPUNIT_TEST(gang_with_refused_member_is_stopped);
    CPPUNIT_TEST(gang_is_done_with_its_first_member);
    CPPUNIT_TEST_SUITE_END();

public:
    void gang_starts_together_or_not_at_all()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 1000);
        jobs::step_spec gang = fleet_fixture::step(2, 1000);
        gang.gang = true;
        f.add_job("a", {gang});
        f.run_round();
        CPPUNIT_ASSERT(f.starts.empty());
        f.add_ready_worker("v", 1000);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
        CPPUNIT_ASSERT_EQUAL(f.starts[0].run, f.starts[1].run);
    }

    // Guards against members that wait for one whose start was refused.
    void gang_with_refused_member_is_stopped()
    {
        fleet_fixture f;
        f.add_worker("w", 1000);
        f.add_worker("v", 1000);
        f.report("w");
        f.report("v");
        jobs::step_spec gang = fleet_fixture::step(2, 1000);
        gang.gang = true;
        f.add_job("a", {gang});
        f.run_round();
        const start_order& first = f.starts.at(0);
        const start_order& second = f.starts.at(1);
        f.fleet_.on_start(first.worker, first.task, first.run,
                          order_outcome::carried_out, f.now_);
        f.fleet_.on_start(second.worker, second.task, second.run,
                          order_outcome::unhealthy, f.now_);
        f.run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.stops.size());
        CPPUNIT_ASSERT(f.stops[0].task == first.task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }

    void gang_is_done_with_its_first_member()
    {
        fleet_fixture f;
        f.add_ready_worker("w", 2000);
        jobs::step_spec gang = fleet_fixture::step(2, 1000);
        gang.gang = true;
        f.add_job("a", {gang});
        f.run_round();
        f.confirm_starts();
        f.report("w", {running(fleet_fixture::task("a", 1), 1)},
                 {end_of(1, fleet_fixture::task("a", 0), 1, end_kind::done)});
        f.run_round();
        f.save_all();
        CPPUNIT_ASSERT(f.fleet_.state_of(base::job_id("a")) ==
                       jobs::job_state::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.starts.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gang_test);

} // namespace coltsfootrack::fleet
