// The judge of the soak finds made-up facts that break a rule.

#include "fact_checker.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::soak
{
namespace
{

using nlohmann::json;

class fact_checker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fact_checker_test);
    CPPUNIT_TEST(listed_end_start_after_grace_is_found);
    CPPUNIT_TEST(listed_end_start_within_grace_is_found);
    CPPUNIT_TEST(listed_end_near_fault_start_is_allowed);
    CPPUNIT_TEST(listed_end_lease_lapsed_within_grace_start_is_allowed);
    CPPUNIT_TEST(listed_end_lease_lapsed_after_grace_start_is_found);
    CPPUNIT_TEST(unlisted_end_lease_lapsed_start_is_allowed);
    CPPUNIT_TEST(end_acknowledged_after_second_start_is_found);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        known_job& job = checker_.job("j");
        job.payload = "p";
        job.max_attempts = 3;
        job.steps.resize(1);
        checker_.count_listed_ends(true);
        fact("start", 0, "a", 1);
        json end = make("end", 100, "a", 1);
        end["how"] = "done";
        checker_.apply(json::array({end}));
    }

    // Guards against the incident: the answer was discarded, and the task was
    // started again.
    void listed_end_start_after_grace_is_found()
    {
        fact("listed", 110, "a", 1);
        fact("start", 300, "b", 2);
        check_faults(1);
    }

    void listed_end_start_within_grace_is_found()
    {
        fact("listed", 110, "a", 1);
        fact("start", 150, "b", 2);
        check_faults(0);
        fact("listed", 300, "c", 9);
        check_faults(1);
    }

    void listed_end_near_fault_start_is_allowed()
    {
        checker_.count_listed_ends(false);
        fact("listed", 110, "a", 1);
        fact("start", 300, "b", 2);
        check_faults(0);
    }

    void listed_end_lease_lapsed_within_grace_start_is_allowed()
    {
        fact("listed", 110, "a", 1);
        fact("lapse", 209, "a", 0);
        fact("start", 300, "b", 2);
        check_faults(0);
    }

    void listed_end_lease_lapsed_after_grace_start_is_found()
    {
        fact("listed", 110, "a", 1);
        fact("lapse", 211, "a", 0);
        fact("start", 300, "b", 2);
        check_faults(1);
    }

    void unlisted_end_lease_lapsed_start_is_allowed()
    {
        fact("lapse", 5000, "a", 0);
        fact("start", 5100, "b", 2);
        fact("listed", 5200, "a", 1);
        fact("listed", 6000, "c", 9);
        check_faults(0);
    }

    void end_acknowledged_after_second_start_is_found()
    {
        fact("start", 300, "b", 2);
        check_faults(0);
        fact("ack", 400, "a", 1);
        check_faults(1);
    }

private:
    static json make(const char* kind, int ms, const char* worker, int run)
    {
        return {{"kind", kind},      {"ms", ms},   {"worker", worker},
                {"task", "j.0.0.0"}, {"run", run}, {"payload", "p"}};
    }

    void fact(const char* kind, int ms, const char* worker, int run)
    {
        checker_.apply(json::array({make(kind, ms, worker, run)}));
    }

    void check_faults(std::size_t count)
    {
        CPPUNIT_ASSERT_EQUAL(count, checker_.faults().size());
    }

    fact_checker checker_{4000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fact_checker_test);

} // namespace
} // namespace coltsfootrack::soak
