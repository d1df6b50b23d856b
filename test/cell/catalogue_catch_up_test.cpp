// Guards against requesting a copy of the catalogue from every peer at every
// status, which saturated the links of a cell of 45 daemons.

#include <coltsfootrack/cell/catalogue_catch_up.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds(100)};

} // namespace

class catalogue_catch_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_catch_up_test);
    CPPUNIT_TEST(catch_up_same_version_asks_nobody);
    CPPUNIT_TEST(catch_up_just_behind_waits_for_the_store);
    CPPUNIT_TEST(catch_up_caught_up_in_between_waits_again);
    CPPUNIT_TEST(catch_up_many_peers_ask_one_per_retry);
    CPPUNIT_TEST_SUITE_END();

public:
    void catch_up_same_version_asks_nobody()
    {
        catalogue_catch_up tested(milliseconds(300), milliseconds(500));
        CPPUNIT_ASSERT(!tested.on_status(7, 7, start));
        CPPUNIT_ASSERT(!tested.on_status(6, 7, start + milliseconds(5000)));
    }

    void catch_up_just_behind_waits_for_the_store()
    {
        catalogue_catch_up tested(milliseconds(300), milliseconds(500));
        CPPUNIT_ASSERT(!tested.on_status(8, 7, start));
        CPPUNIT_ASSERT(!tested.on_status(8, 7, start + milliseconds(299)));
        CPPUNIT_ASSERT(tested.on_status(8, 7, start + milliseconds(300)));
    }

    void catch_up_caught_up_in_between_waits_again()
    {
        catalogue_catch_up tested(milliseconds(300), milliseconds(500));
        CPPUNIT_ASSERT(!tested.on_status(8, 7, start));
        tested.on_catalogue();
        CPPUNIT_ASSERT(!tested.on_status(9, 8, start + milliseconds(400)));
        CPPUNIT_ASSERT(tested.on_status(9, 8, start + milliseconds(700)));
    }

    // 44 peers each send a status every 250 ms for 3 s.
    void catch_up_many_peers_ask_one_per_retry()
    {
        catalogue_catch_up tested(milliseconds(300), milliseconds(500));
        int asked = 0;
        for (int ms = 0; ms < 3000; ms += 250)
        {
            for (int peer = 0; peer < 44; ++peer)
            {
                asked +=
                    tested.on_status(8, 7, start + milliseconds(ms)) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(5, asked);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_catch_up_test);

} // namespace coltsfootrack::cell
