// Tests of the example files, which operators copy.

#include <coltsfootrack/config/daemon_settings.hpp>
#include <coltsfootrack/config/snapshot.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace coltsfootrack::config
{
namespace
{

std::filesystem::path example_folder()
{
    return std::filesystem::path(__FILE__).parent_path() / "../../example";
}

std::string content_of(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

class example_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(example_test);
    CPPUNIT_TEST(example_tickets_are_accepted);
    CPPUNIT_TEST(example_settings_are_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an example that fails validation, or that no longer
    // describes a deployment of the stated size.
    void example_tickets_are_accepted()
    {
        for (const char* name : {"stillwasser.json", "mahd-bloom.json"})
        {
            const auto read =
                parse_ticket(content_of(example_folder() / "tickets" / name));
            CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
            const auto before = snapshot::empty();
            const absl::Status status = before->check_ticket(*read);
            CPPUNIT_ASSERT_MESSAGE(status.ToString(), status.ok());
            const auto after = *before->apply(*read, 1);
            CPPUNIT_ASSERT_EQUAL(std::size_t{6}, after->teams().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, after->services().size());
            CPPUNIT_ASSERT(after->workloads().size() >= 6);
            // No job of one workload may exceed the limit of its team.
            for (const workload* each : after->workloads())
            {
                const team* owner = after->find_team(each->team);
                CPPUNIT_ASSERT(
                    (each->per_task * each->tasks).fits_in(owner->limit));
            }
        }
    }

    void example_settings_are_accepted()
    {
        const auto read = parse_settings(
            content_of(example_folder() / "settings/coltsfootrackd.json"));
        CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->peers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(example_test);

} // namespace coltsfootrack::config
