// Tests of job rows: reading back what was written, size, malformed rows.

#include <coltsfootrack/daemon/job_record.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootrack::daemon
{

class job_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_record_test);
    CPPUNIT_TEST(row_any_finished_tasks_are_read_back);
    CPPUNIT_TEST(row_of_large_job_in_order_is_small);
    CPPUNIT_TEST(row_malformed_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the loss of a finished task's index, after which the task
    // would run again.
    void row_any_finished_tasks_are_read_back()
    {
        CPPUNIT_ASSERT(rc::check(
            "finished tasks are read back",
            []
            {
                job_record record;
                record.finished = *rc::gen::container<std::set<std::uint32_t>>(
                    rc::gen::inRange<std::uint32_t>(0, 60));
                const auto copy = job_record_from_json("j", to_json(record));
                RC_ASSERT(copy.ok());
                RC_ASSERT(copy->finished == record.finished);
            }));
    }

    // Guards against rows that grow with each finished task.
    void row_of_large_job_in_order_is_small()
    {
        job_record record;
        for (std::uint32_t i = 0; i < 10000; ++i)
        {
            record.finished.insert(i);
        }
        CPPUNIT_ASSERT(to_json(record).dump().size() < 500);
    }

    // Guards against an exception or default values for a malformed row.
    void row_malformed_is_an_error()
    {
        for (const char* text :
             {"{}", R"({"team": 7})", R"({"team": "a", "finished": [[1]]})"})
        {
            const auto record =
                job_record_from_json("j", nlohmann::json::parse(text));
            CPPUNIT_ASSERT(!record.ok());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_record_test);

} // namespace coltsfootrack::daemon
