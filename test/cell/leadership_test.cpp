// A new leader and the jobs that it finds. Guards against two runs of a task at
// the same time: a former leader that still reaches a worker which the new one
// has not looked at yet.

#include "leadership_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t epoch = 5;

// Long enough for everything but the end of a lease, which is 5 s.
constexpr milliseconds soon{1000};

} // namespace

class leadership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leadership_test);
    CPPUNIT_TEST(leader_job_of_its_epoch_starts_beside_silent_worker);
    CPPUNIT_TEST(leader_job_of_former_epoch_waits_for_silent_worker);
    CPPUNIT_TEST(leader_job_found_after_the_fence_waits_for_silent_worker);
    CPPUNIT_TEST(leader_job_of_no_leader_waits_for_silent_worker);
    CPPUNIT_TEST(leader_all_workers_answer_starts_every_job);
    CPPUNIT_TEST(leader_inherited_job_waits_for_workers_not_listed_yet);
    CPPUNIT_TEST(leader_inherited_job_waits_until_list_was_read);
    CPPUNIT_TEST(leader_isolated_extends_no_lease_and_starts_nothing);
    CPPUNIT_TEST(leader_job_of_later_epoch_steps_down);
    CPPUNIT_TEST(leader_final_job_is_removed_after_its_time);
    CPPUNIT_TEST(leader_open_job_is_not_removed);
    CPPUNIT_TEST_SUITE_END();

public:
    void leader_job_of_its_epoch_starts_beside_silent_worker()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.add_worker("w2", false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.send_job("own", epoch);
        CPPUNIT_ASSERT(world.started("own", soon));
    }

    void leader_job_of_former_epoch_waits_for_silent_worker()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.add_worker("w2", false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.send_job("former", epoch - 1);
        CPPUNIT_ASSERT(!world.started("former", soon));
    }

    // The daemon that stored it has told the former leader.
    void leader_job_found_after_the_fence_waits_for_silent_worker()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.add_worker("w2", false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.run([&] { world.put_job("former", epoch - 1); });
        CPPUNIT_ASSERT(!world.started("former", soon));
    }

    void leader_job_of_no_leader_waits_for_silent_worker()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.add_worker("w2", false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.run([&] { world.put_job("unled", 0); });
        CPPUNIT_ASSERT(!world.started("unled", soon));
    }

    void leader_all_workers_answer_starts_every_job()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.add_worker("w2", true);
        world.put_job("before", epoch - 1);
        world.begin();
        CPPUNIT_ASSERT(world.started("before", soon));
        world.run([&] { world.put_job("unled", 0); });
        CPPUNIT_ASSERT(world.started("unled", soon));
    }

    // Guards against a second run of a task after an outage of the store: the
    // worker that has its end is not on the list yet.
    void leader_inherited_job_waits_for_workers_not_listed_yet()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.set_list_settled(false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.send_job("former", epoch - 1);
        world.send_job("own", epoch);
        CPPUNIT_ASSERT(world.started("own", soon));
        CPPUNIT_ASSERT(!world.started("former", milliseconds(300)));
        world.run([&] { world.set_list_settled(true); });
        CPPUNIT_ASSERT(world.started("former", soon));
    }

    // Guards against the same when the store goes away between the takeover
    // and the first list of workers.
    void leader_inherited_job_waits_until_list_was_read()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.set_list_readable(false);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        CPPUNIT_ASSERT(!world.started("none", milliseconds(300)));
        world.run(
            [&]
            {
                world.set_list_settled(false);
                world.set_list_readable(true);
            });
        world.send_job("own", epoch);
        world.send_job("former", epoch - 1);
        CPPUNIT_ASSERT(world.started("own", soon));
        CPPUNIT_ASSERT(!world.started("former", milliseconds(300)));
    }

    // Guards against two runs of a task: the next leader counts the leases of
    // one that is cut off beside its workers as over.
    void leader_isolated_extends_no_lease_and_starts_nothing()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.send_job("before", epoch);
        CPPUNIT_ASSERT(world.started("before", soon));
        int granted = 0;
        world.run(
            [&]
            {
                world.set_isolated(true);
                granted = world.leases();
            });
        CPPUNIT_ASSERT(granted > 0);
        world.send_job("after", epoch);
        CPPUNIT_ASSERT(!world.started("after", milliseconds(500)));
        world.run([&] { CPPUNIT_ASSERT_EQUAL(granted, world.leases()); });
        world.run([&] { world.set_isolated(false); });
        CPPUNIT_ASSERT(world.started("after", milliseconds(3000)));
    }

    void leader_job_of_later_epoch_steps_down()
    {
        leadership_world world(epoch);
        world.add_worker("w1", true);
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        world.run([&] { world.put_job("later", epoch + 1); });
        CPPUNIT_ASSERT(world.lost(soon));
        CPPUNIT_ASSERT(!world.started("later", milliseconds(100)));
    }

    void leader_final_job_is_removed_after_its_time()
    {
        leadership_world world(epoch, forgetful());
        world.add_worker("w1", true);
        world.put_job("final", epoch - 1);
        world.put_completed("final");
        world.begin();
        CPPUNIT_ASSERT(world.wait_loaded(soon));
        CPPUNIT_ASSERT(!world.removed("final", milliseconds(100)));
        CPPUNIT_ASSERT(world.removed("final", soon));
    }

    void leader_open_job_is_not_removed()
    {
        leadership_world world(epoch, forgetful());
        world.add_worker("w1", true);
        world.put_job("open", epoch - 1);
        world.begin();
        CPPUNIT_ASSERT(world.started("open", soon));
        CPPUNIT_ASSERT(!world.removed("open", milliseconds(600)));
    }

private:
    static cell_options forgetful()
    {
        cell_options options;
        options.final_job_retention = milliseconds(300);
        options.removal_period = milliseconds(20);
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leadership_test);

} // namespace coltsfootrack::cell
