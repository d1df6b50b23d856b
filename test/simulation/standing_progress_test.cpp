// The rules for standing tasks report invented events that break them, and no
// others.

#include "standing_progress.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::simulation
{
namespace
{

using nlohmann::json;

constexpr int max_attempts = 3;

class standing_progress_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(standing_progress_test);
    CPPUNIT_TEST(task_without_run_is_reported_once);
    CPPUNIT_TEST(task_of_lost_worker_without_run_is_reported);
    CPPUNIT_TEST(task_with_run_in_time_is_not_reported);
    CPPUNIT_TEST(fault_before_calm_time_does_not_excuse);
    CPPUNIT_TEST(fault_in_calm_time_excuses);
    CPPUNIT_TEST(place_on_one_worker_excuses);
    CPPUNIT_TEST(cancelled_task_is_not_reported);
    CPPUNIT_TEST(unaccepted_task_is_not_reported);
    CPPUNIT_TEST(second_run_at_a_time_is_reported);
    CPPUNIT_TEST(restarts_after_failures_are_allowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        soak::submitted_job& job = checker_.job("j");
        job.payload = "p";
        job.accepted = true;
        job.max_attempts = max_attempts;
        job.steps.push_back({1, 500, {}, true});
        event("start", 1000, "a", 1);
    }

    void task_without_run_is_reported_once()
    {
        end(2000, "a", 1);
        observe(2000, 10950);
        check_late(0);
        observe(11000, 30000);
        check_late(1);
    }

    void task_of_lost_worker_without_run_is_reported()
    {
        event("life", 2000, "a", 0);
        observe(2000, 11000);
        check_late(1);
    }

    void task_with_run_in_time_is_not_reported()
    {
        end(2000, "a", 1);
        observe(2000, 10900);
        event("start", 10950, "b", 2);
        observe(10950, 30000);
        check_late(0);
    }

    void fault_before_calm_time_does_not_excuse()
    {
        end(2000, "a", 1);
        observe(2000, 3900, true);
        observe(3950, 11000);
        check_late(1);
    }

    void fault_in_calm_time_excuses()
    {
        end(2000, "a", 1);
        observe(2000, 4050, true);
        observe(4100, 30000);
        check_late(0);
        CPPUNIT_ASSERT_EQUAL(1, progress_.excused());
    }

    void place_on_one_worker_excuses()
    {
        end(2000, "a", 1);
        observe(2000, 8000);
        places_ = 1;
        observe(8050, 8050);
        places_ = 2;
        observe(8100, 30000);
        check_late(0);
    }

    void cancelled_task_is_not_reported()
    {
        end(2000, "a", 1);
        checker_.job("j").cancelled = true;
        observe(2000, 30000);
        check_late(0);
    }

    void unaccepted_task_is_not_reported()
    {
        end(2000, "a", 1);
        checker_.job("j").accepted = false;
        observe(2000, 30000);
        check_late(0);
    }

    void second_run_at_a_time_is_reported()
    {
        event("start", 1500, "b", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), checker_.violations().size());
        // The task has a run until both have ended.
        end(2000, "a", 1);
        CPPUNIT_ASSERT(checker_.standing_gaps().empty());
        end(2100, "b", 2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2100),
                             checker_.standing_gaps().at("j.0.0.0"));
    }

    void restarts_after_failures_are_allowed()
    {
        for (int run = 1; run <= 2 * max_attempts; ++run)
        {
            end(1000 * run + 500, "a", run);
            event("acknowledged", 1000 * run + 600, "a", run);
            event("start", 1000 * run + 1000, "a", run + 1);
        }
        CPPUNIT_ASSERT(checker_.violations().empty());
        CPPUNIT_ASSERT(!checker_.attempts_exhausted("j"));
    }

private:
    void event(const char* kind, int ms, const char* worker, int run,
               const char* how = "")
    {
        checker_.apply(json::array({{{"kind", kind},
                                     {"ms", ms},
                                     {"worker", worker},
                                     {"task", "j.0.0.0"},
                                     {"run", run},
                                     {"payload", "p"},
                                     {"how", how}}}));
    }

    void end(int ms, const char* worker, int run)
    {
        event("end", ms, worker, run, "failed");
    }

    void observe(std::int64_t from_ms, std::int64_t to_ms, bool fault = false)
    {
        for (std::int64_t now_ms = from_ms; now_ms <= to_ms;
             now_ms += standing_progress::period.count())
        {
            progress_.observe(now_ms, fault, checker_,
                              [this](std::int64_t /*cpu_milli*/)
                              { return places_; });
        }
    }

    void check_late(std::size_t count)
    {
        CPPUNIT_ASSERT_EQUAL(count, progress_.violations().size());
    }

    soak::history_checker checker_{4000};
    standing_progress progress_;
    int places_ = 2;
};

CPPUNIT_TEST_SUITE_REGISTRATION(standing_progress_test);

} // namespace
} // namespace coltsfootrack::simulation
