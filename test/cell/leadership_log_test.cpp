// Tests of a leader's log lines. Under an overload with hundreds of starts a
// second, one line for each start took much of the leader's processor time.

#include "leadership_harness.hpp"
#include "log_capture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t epoch = 5;
constexpr milliseconds soon{1000};

} // namespace

class leadership_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leadership_log_test);
    CPPUNIT_TEST(starts_of_step_in_one_round_are_logged_in_one_line);
    CPPUNIT_TEST(starts_refused_are_logged_in_one_line_with_outcome);
    CPPUNIT_TEST(starts_confirmed_are_not_logged_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void starts_of_step_in_one_round_are_logged_in_one_line()
    {
        const log_capture log;
        run_job(fleet::order_outcome::carried_out);
        const std::vector<std::string> lines = log.with("Starts ordered");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("Starts ordered. job=a occurrence=0 step=0 "
                        "starts=0:4001@w1,1:4001@w1,2:4001@w1"),
            lines[0]);
    }

    // Also guards against logging a number instead of the outcome's name.
    void starts_refused_are_logged_in_one_line_with_outcome()
    {
        const log_capture log;
        run_job(fleet::order_outcome::refused);
        const std::vector<std::string> lines = log.with("Starts not confirmed");
        CPPUNIT_ASSERT(!lines.empty());
        CPPUNIT_ASSERT_EQUAL(
            std::string("Starts not confirmed. job=a occurrence=0 step=0 "
                        "starts=0:4001@w1:refused,1:4001@w1:refused,"
                        "2:4001@w1:refused"),
            lines[0]);
    }

    void starts_confirmed_are_not_logged_again()
    {
        const log_capture log;
        run_job(fleet::order_outcome::carried_out);
        CPPUNIT_ASSERT(log.with("Starts not confirmed").empty());
    }

private:
    static void run_job(fleet::order_outcome outcome)
    {
        leadership_harness harness(epoch);
        harness.set_tasks(3);
        harness.set_start_outcome(outcome);
        harness.add_worker("w1", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("a", epoch);
        CPPUNIT_ASSERT(harness.wait_started("a", soon));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leadership_log_test);

} // namespace coltsfootrack::cell
