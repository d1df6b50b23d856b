// Tests of a leader whose process was paused. Its right to lead may have passed
// to a peer meanwhile, and a worker that has restarted since then does not know
// the fencing token of that peer.

#include "leadership_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t epoch = 5;
constexpr milliseconds soon{1000};
constexpr milliseconds pause{1200};

// A leader with one worker and one job, before the pause.
class paused_leader
{
public:
    paused_leader()
        : harness(epoch)
    {
        harness.add_worker("w1", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("first", epoch);
        CPPUNIT_ASSERT(harness.wait_started("first", soon));
    }

    leadership_harness harness;
};

} // namespace

class paused_leader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(paused_leader_test);
    CPPUNIT_TEST(leader_replaced_during_pause_orders_nothing);
    CPPUNIT_TEST(leader_still_leading_after_pause_goes_on);
    CPPUNIT_TEST(leader_without_store_after_pause_grants_no_lease_at_once);
    CPPUNIT_TEST(leader_without_store_after_pause_goes_on_with_all_peers);
    CPPUNIT_TEST(leader_isolated_after_pause_orders_nothing);
    CPPUNIT_TEST(leader_replaced_while_isolated_orders_nothing_afterwards);
    CPPUNIT_TEST_SUITE_END();

public:
    void leader_replaced_during_pause_orders_nothing()
    {
        paused_leader f;
        f.harness.run([&] { f.harness.put_leader_row(epoch + 1); });
        f.harness.send_job("second", epoch);
        f.harness.pause(pause);
        CPPUNIT_ASSERT(f.harness.wait_lost(soon));
        CPPUNIT_ASSERT(!f.harness.wait_started("second", milliseconds(100)));
    }

    void leader_still_leading_after_pause_goes_on()
    {
        paused_leader f;
        f.harness.pause(pause);
        f.harness.send_job("second", epoch);
        CPPUNIT_ASSERT(f.harness.wait_started("second", soon));
    }

    void leader_without_store_after_pause_grants_no_lease_at_once()
    {
        paused_leader f;
        f.harness.run([&] { f.harness.answer_reads(false); });
        f.harness.pause(pause);
        int before = 0;
        f.harness.run([&] { before = f.harness.leases(); });
        f.harness.send_job("second", epoch);
        CPPUNIT_ASSERT(!f.harness.wait_started("second", milliseconds(200)));
        int after = 0;
        f.harness.run([&] { after = f.harness.leases(); });
        CPPUNIT_ASSERT_EQUAL(before, after);
    }

    void leader_without_store_after_pause_goes_on_with_all_peers()
    {
        paused_leader f;
        f.harness.run([&] { f.harness.answer_reads(false); });
        f.harness.pause(pause);
        f.harness.send_job("second", epoch);
        CPPUNIT_ASSERT(f.harness.wait_started("second", 2 * soon));
    }

    void leader_isolated_after_pause_orders_nothing()
    {
        paused_leader f;
        f.harness.run(
            [&]
            {
                f.harness.answer_reads(false);
                f.harness.set_isolated(true);
            });
        f.harness.pause(pause);
        f.harness.send_job("second", epoch);
        CPPUNIT_ASSERT(!f.harness.wait_started("second", soon));
    }

    // Guards against a start by a former leader when the store answers again,
    // before that leader has learned of the next one.
    void leader_replaced_while_isolated_orders_nothing_afterwards()
    {
        paused_leader f;
        // An isolated leader has no answer of the store.
        f.harness.run(
            [&]
            {
                f.harness.answer_reads(false);
                f.harness.set_isolated(true);
            });
        f.harness.send_job("second", epoch);
        f.harness.run(
            [&]
            {
                f.harness.put_leader_row(epoch + 1);
                f.harness.answer_reads(true);
                f.harness.set_isolated(false);
            });
        CPPUNIT_ASSERT(f.harness.wait_lost(soon));
        CPPUNIT_ASSERT(!f.harness.wait_started("second", milliseconds(100)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(paused_leader_test);

} // namespace coltsfootrack::cell
