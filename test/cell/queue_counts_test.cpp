// Guards against telling callers that nothing waits while a new leader has not
// loaded the jobs yet.

#include <coltsfootrack/cell/queue_counts.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{

class queue_counts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(queue_counts_test);
    CPPUNIT_TEST(counts_of_loaded_leader_are_taken);
    CPPUNIT_TEST(counts_of_leader_without_waiting_jobs_are_empty);
    CPPUNIT_TEST(counts_of_leader_in_takeover_are_not_known);
    CPPUNIT_TEST(counts_of_follower_are_not_known);
    CPPUNIT_TEST_SUITE_END();

public:
    void counts_of_loaded_leader_are_taken()
    {
        wire::cell_status status = loaded_leader();
        status.queues = {{"a", 3}, {"b", 70000}};
        const std::map<std::string, int> expected = {{"a", 3}, {"b", 70000}};
        CPPUNIT_ASSERT(queue_counts_of(status) == expected);
    }

    void counts_of_leader_without_waiting_jobs_are_empty()
    {
        const auto counts = queue_counts_of(loaded_leader());
        CPPUNIT_ASSERT(counts.has_value());
        CPPUNIT_ASSERT(counts->empty());
    }

    void counts_of_leader_in_takeover_are_not_known()
    {
        wire::cell_status status = loaded_leader();
        status.queues_known = false;
        CPPUNIT_ASSERT(!queue_counts_of(status));
    }

    void counts_of_follower_are_not_known()
    {
        wire::cell_status status = loaded_leader();
        status.leading = false;
        CPPUNIT_ASSERT(!queue_counts_of(status));
    }

private:
    static wire::cell_status loaded_leader()
    {
        wire::cell_status status;
        status.leading = true;
        status.queues_known = true;
        return status;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_counts_test);

} // namespace coltsfootrack::cell
