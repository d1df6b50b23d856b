// Tests of which jobs count as waiting: those of which no task has started.

#include "fleet_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

// A fleet with one job, whose only start was ordered.
class ordered_fixture : public fleet_fixture
{
public:
    ordered_fixture()
    {
        add_ready_worker("w1", 1000);
        add_job("job", {step(1, 1000)});
        run_round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), starts.size());
    }

    void answer(order_outcome outcome)
    {
        fleet_.on_start(base::worker_id("w1"), task("job", 0), 1, outcome,
                        now_);
        advance(milliseconds(10));
    }

    bool waits()
    {
        const auto counts = fleet_.waiting_counts();
        const auto found = counts.find("q");
        const bool waiting = found != counts.end() && found->second == 1;
        const auto state = fleet_.state_of(base::job_id("job"));
        CPPUNIT_ASSERT(state == (waiting ? jobs::job_state::queued
                                         : jobs::job_state::running));
        return waiting;
    }
};

} // namespace

class waiting_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_test);
    CPPUNIT_TEST(job_with_refused_start_waits);
    CPPUNIT_TEST(job_with_unanswered_start_waits_until_seen);
    CPPUNIT_TEST(job_with_confirmed_start_does_not_wait);
    CPPUNIT_TEST(job_with_stopped_run_does_not_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against jobs that are shown as running and not counted as waiting,
    // though a worker has refused to start them.
    void job_with_refused_start_waits()
    {
        for (std::size_t i = 0; i < order_outcome_count; ++i)
        {
            const auto outcome = static_cast<order_outcome>(i);
            ordered_fixture f;
            CPPUNIT_ASSERT(f.waits());
            if (outcome != order_outcome::carried_out)
            {
                f.answer(outcome);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(i), f.waits());
            }
        }
    }

    void job_with_unanswered_start_waits_until_seen()
    {
        ordered_fixture listed;
        listed.answer(order_outcome::unknown);
        CPPUNIT_ASSERT(listed.waits());
        listed.report("w1", {running(fleet_fixture::task("job", 0), 1)});
        CPPUNIT_ASSERT(!listed.waits());
        ordered_fixture ended;
        ended.answer(order_outcome::unknown);
        ended.report(
            "w1", {},
            {end_of(1, fleet_fixture::task("job", 0), 1, end_kind::failed)});
        CPPUNIT_ASSERT(!ended.waits());
    }

    void job_with_confirmed_start_does_not_wait()
    {
        ordered_fixture f;
        f.answer(order_outcome::carried_out);
        CPPUNIT_ASSERT(!f.waits());
    }

    // Once a task has started the job does not wait again.
    void job_with_stopped_run_does_not_wait()
    {
        ordered_fixture f;
        f.answer(order_outcome::carried_out);
        f.report(
            "w1", {},
            {end_of(1, fleet_fixture::task("job", 0), 1, end_kind::stopped)});
        CPPUNIT_ASSERT(!f.waits());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_test);

} // namespace coltsfootrack::fleet
