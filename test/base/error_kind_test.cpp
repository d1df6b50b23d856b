// Tests of the error table: it has an answer for every kind, and a status made
// from a kind gives that kind back.

#include <coltsfootrack/base/error_kind.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>

namespace coltsfootrack::base
{

class error_kind_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(error_kind_test);
    CPPUNIT_TEST(table_every_kind_has_a_complete_answer);
    CPPUNIT_TEST(status_made_from_kind_keeps_kind);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a kind without a name, advice or error status.
    void table_every_kind_has_a_complete_answer()
    {
        std::set<std::string> names;
        for (const error_answer& answer : error_answers())
        {
            CPPUNIT_ASSERT(!answer.name.empty());
            CPPUNIT_ASSERT(!answer.advice.empty());
            CPPUNIT_ASSERT(answer.http_status >= 400);
            CPPUNIT_ASSERT(answer.exit_code >= 2);
            CPPUNIT_ASSERT(names.insert(std::string(answer.name)).second);
        }
        CPPUNIT_ASSERT_EQUAL(error_kind_count, names.size());
    }

    // Guards against a status whose kind cannot be read back.
    void status_made_from_kind_keeps_kind()
    {
        for (const error_answer& answer : error_answers())
        {
            const absl::Status status = make_error(answer.kind, "detail");
            CPPUNIT_ASSERT(!status.ok());
            CPPUNIT_ASSERT(kind_of(status) == answer.kind);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_kind_test);

} // namespace coltsfootrack::base
