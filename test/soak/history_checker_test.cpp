// The checker of the soak reports invented events that break a rule.

#include "history_checker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::soak
{
namespace
{

using nlohmann::json;

class history_checker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(history_checker_test);
    CPPUNIT_TEST(listed_end_start_after_grace_is_reported);
    CPPUNIT_TEST(listed_end_start_within_grace_is_reported);
    CPPUNIT_TEST(listed_end_near_fault_start_is_allowed);
    CPPUNIT_TEST(listed_end_lease_lapsed_within_grace_start_is_allowed);
    CPPUNIT_TEST(listed_end_lease_lapsed_after_grace_start_is_reported);
    CPPUNIT_TEST(unlisted_end_lease_lapsed_start_is_allowed);
    CPPUNIT_TEST(end_acknowledged_after_second_start_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        submitted_job& job = checker_.job("j");
        job.payload = "p";
        job.max_attempts = 3;
        job.steps.resize(1);
        checker_.set_listed_ends_observed(true);
        event("start", 0, "a", 1);
        json end = make_event("end", 100, "a", 1);
        end["how"] = "done";
        checker_.apply(json::array({end}));
    }

    // Guards against a daemon that discards the answer which lists an end, and
    // then starts the task again.
    void listed_end_start_after_grace_is_reported()
    {
        event("listed", 110, "a", 1);
        event("start", 300, "b", 2);
        check_violations(1);
    }

    void listed_end_start_within_grace_is_reported()
    {
        event("listed", 110, "a", 1);
        event("start", 150, "b", 2);
        check_violations(0);
        event("listed", 300, "c", 9);
        check_violations(1);
    }

    void listed_end_near_fault_start_is_allowed()
    {
        checker_.set_listed_ends_observed(false);
        event("listed", 110, "a", 1);
        event("start", 300, "b", 2);
        check_violations(0);
    }

    void listed_end_lease_lapsed_within_grace_start_is_allowed()
    {
        event("listed", 110, "a", 1);
        event("lapse", 209, "a", 0);
        event("start", 300, "b", 2);
        check_violations(0);
    }

    void listed_end_lease_lapsed_after_grace_start_is_reported()
    {
        event("listed", 110, "a", 1);
        event("lapse", 211, "a", 0);
        event("start", 300, "b", 2);
        check_violations(1);
    }

    void unlisted_end_lease_lapsed_start_is_allowed()
    {
        event("lapse", 5000, "a", 0);
        event("start", 5100, "b", 2);
        event("listed", 5200, "a", 1);
        event("listed", 6000, "c", 9);
        check_violations(0);
    }

    void end_acknowledged_after_second_start_is_reported()
    {
        event("start", 300, "b", 2);
        check_violations(0);
        event("ack", 400, "a", 1);
        check_violations(1);
    }

private:
    static json make_event(const char* kind, int ms, const char* worker,
                           int run)
    {
        return {{"kind", kind},      {"ms", ms},   {"worker", worker},
                {"task", "j.0.0.0"}, {"run", run}, {"payload", "p"}};
    }

    void event(const char* kind, int ms, const char* worker, int run)
    {
        checker_.apply(json::array({make_event(kind, ms, worker, run)}));
    }

    void check_violations(std::size_t count)
    {
        CPPUNIT_ASSERT_EQUAL(count, checker_.violations().size());
    }

    history_checker checker_{4000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_checker_test);

} // namespace
} // namespace coltsfootrack::soak
