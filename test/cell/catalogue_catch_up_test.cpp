// Guards against copies of the catalogue that saturate the links of a cell:
// from every peer at every status, and again before the first one can have
// arrived.

#include <coltsfootrack/cell/catalogue_catch_up.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds(100)};
const base::daemon_id peer("a-1");

// A daemon that has catalogue 7 and hears of catalogue 8 in statuses.
class behind_fixture
{
public:
    explicit behind_fixture(bool follows_store = true)
        : follows_store_(follows_store)
    {
    }

    bool ask(int ms, bool near = true, const base::daemon_id& from = peer,
             std::uint64_t offered = 8, std::uint64_t own = 7)
    {
        return tested.on_status(from, offered, own, near, follows_store_,
                                start + milliseconds(ms));
    }

    catalogue_catch_up tested{catalogue_catch_up::limits()};

private:
    bool follows_store_;
};

} // namespace

class catalogue_catch_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_catch_up_test);
    CPPUNIT_TEST(catch_up_same_version_asks_nobody);
    CPPUNIT_TEST(catch_up_just_behind_waits_for_the_store);
    CPPUNIT_TEST(catch_up_without_store_asks_near_peer_at_once);
    CPPUNIT_TEST(catch_up_far_peer_is_asked_only_later);
    CPPUNIT_TEST(catch_up_caught_up_in_between_waits_again);
    CPPUNIT_TEST(catch_up_many_peers_ask_one_per_retry);
    CPPUNIT_TEST(catch_up_copy_on_a_slow_link_is_not_requested_each_retry);
    CPPUNIT_TEST(catch_up_asked_peer_lost_asks_another_at_once);
    CPPUNIT_TEST(catch_up_next_change_does_not_wait_for_former_retries);
    CPPUNIT_TEST_SUITE_END();

public:
    void catch_up_same_version_asks_nobody()
    {
        behind_fixture f;
        CPPUNIT_ASSERT(!f.ask(0, true, peer, 7, 7));
        CPPUNIT_ASSERT(!f.ask(5000, true, peer, 6, 7));
    }

    void catch_up_just_behind_waits_for_the_store()
    {
        behind_fixture f;
        CPPUNIT_ASSERT(!f.ask(0));
        CPPUNIT_ASSERT(!f.ask(299));
        CPPUNIT_ASSERT(f.ask(300));
    }

    void catch_up_without_store_asks_near_peer_at_once()
    {
        behind_fixture f(false);
        CPPUNIT_ASSERT(f.ask(0));
    }

    // Guards against a full link between zones.
    void catch_up_far_peer_is_asked_only_later()
    {
        behind_fixture f(false);
        CPPUNIT_ASSERT(!f.ask(0, false));
        CPPUNIT_ASSERT(!f.ask(499, false));
        CPPUNIT_ASSERT(f.ask(500, false));
    }

    void catch_up_caught_up_in_between_waits_again()
    {
        behind_fixture f;
        CPPUNIT_ASSERT(!f.ask(0));
        f.tested.on_catalogue();
        CPPUNIT_ASSERT(!f.ask(400, true, peer, 9, 8));
        CPPUNIT_ASSERT(f.ask(700, true, peer, 9, 8));
    }

    // 44 peers each send a status every 250 ms for 3 s.
    void catch_up_many_peers_ask_one_per_retry()
    {
        behind_fixture f;
        int asked = 0;
        for (int ms = 0; ms < 3000; ms += 250)
        {
            for (int i = 0; i < 44; ++i)
            {
                asked +=
                    f.ask(ms, true, base::daemon_id("a-" + std::to_string(i)))
                        ? 1
                        : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(3, asked);
    }

    // Each copy would make the others later: one of 700 KB takes more than half
    // a second on 10 Mbit/s.
    void catch_up_copy_on_a_slow_link_is_not_requested_each_retry()
    {
        behind_fixture f;
        int asked = 0;
        for (int ms = 0; ms < 10000; ms += 50)
        {
            asked += f.ask(ms) ? 1 : 0;
        }
        CPPUNIT_ASSERT(asked >= 2 && asked <= 5);
    }

    // Guards against a change that takes effect seconds late since a copy of
    // the one before came late.
    void catch_up_next_change_does_not_wait_for_former_retries()
    {
        behind_fixture f(false);
        for (int ms = 0; ms < 3600; ms += 100)
        {
            f.ask(ms);
        }
        f.tested.on_catalogue();
        CPPUNIT_ASSERT(f.ask(3700, true, peer, 9, 8));
    }

    void catch_up_asked_peer_lost_asks_another_at_once()
    {
        behind_fixture f;
        f.ask(0);
        CPPUNIT_ASSERT(f.ask(300));
        f.tested.on_link_lost(base::daemon_id("other"));
        CPPUNIT_ASSERT(!f.ask(310, true, base::daemon_id("a-2")));
        f.tested.on_link_lost(peer);
        CPPUNIT_ASSERT(f.ask(320, true, base::daemon_id("a-2")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_catch_up_test);

} // namespace coltsfootrack::cell
