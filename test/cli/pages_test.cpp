// Tests that the documentation for operators matches the code.

#include <coltsfootrack/base/error_kind.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <string>

namespace coltsfootrack::cli
{
namespace
{

std::string page(const char* name)
{
    std::ifstream file(std::filesystem::path(__FILE__).parent_path() /
                       "../../docs" / name);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string ran_text(base::execution ran)
{
    return ran == base::execution::did_not_run ? "no"
           : ran == base::execution::ran       ? "yes"
                                               : "unknown";
}

} // namespace

class pages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pages_test);
    CPPUNIT_TEST(page_for_operators_lists_every_error);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a page that gives other codes or advice than the tool.
    void page_for_operators_lists_every_error()
    {
        const std::string text = page("operators.md");
        for (const base::error_answer& row : base::error_answers())
        {
            const std::string expected =
                fmt::format("| `{}` | {} | {} | {} | {} | {} |", row.name,
                            row.http_status, row.exit_code, ran_text(row.ran),
                            row.retryable ? "yes" : "no", row.advice);
            CPPUNIT_ASSERT_MESSAGE(expected,
                                   text.find(expected) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pages_test);

} // namespace coltsfootrack::cli
