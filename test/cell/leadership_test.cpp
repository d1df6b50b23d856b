// Tests of a new leader and existing jobs. Guards against two concurrent runs
// of a task: a former leader may still reach a worker that the new one has not
// contacted yet.

#include "leadership_harness.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t epoch = 5;

// Long enough for anything but the expiry of a lease, which takes 5 s.
constexpr milliseconds soon{1000};

// Whether an inherited job starts soon after the lease of a lost worker of this
// zone has expired.
bool starts_after_lease_of_lost_worker(const std::string& zone)
{
    cell_options options;
    options.fleet.longest_lease = milliseconds(1000);
    options.fleet.lease_delivery = milliseconds(100);
    leadership_harness harness(epoch, options);
    harness.set_no_daemon_near();
    harness.add_worker("w1", true);
    harness.put_used_worker("w2", zone);
    harness.begin();
    CPPUNIT_ASSERT(harness.wait_loaded(soon));
    harness.send_job("former", epoch - 1);
    CPPUNIT_ASSERT(!harness.wait_started("former", milliseconds(1000)));
    return harness.wait_started("former", milliseconds(2500));
}

} // namespace

class leadership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leadership_test);
    CPPUNIT_TEST(leader_job_of_own_epoch_starts_despite_unresponsive_worker);
    CPPUNIT_TEST(leader_job_of_former_epoch_waits_for_unresponsive_worker);
    CPPUNIT_TEST(leader_job_found_after_fencing_waits_for_unresponsive_worker);
    CPPUNIT_TEST(leader_job_without_epoch_waits_for_unresponsive_worker);
    CPPUNIT_TEST(leader_listed_worker_that_was_never_used_is_not_waited_for);
    CPPUNIT_TEST(leader_all_workers_answer_starts_every_job);
    CPPUNIT_TEST(leader_inherited_job_waits_for_workers_not_listed_yet);
    CPPUNIT_TEST(leader_inherited_job_waits_until_list_is_read);
    CPPUNIT_TEST(leader_inherited_job_waits_for_used_worker_off_the_list);
    CPPUNIT_TEST(leader_without_daemon_near_lost_worker_asks_another_one_there);
    CPPUNIT_TEST(leader_without_answer_from_zone_waits_longer);
    CPPUNIT_TEST(leader_worker_is_stored_before_it_is_used);
    CPPUNIT_TEST(leader_worker_of_unknown_service_uses_up_no_limit);
    CPPUNIT_TEST(leader_worker_of_unknown_service_is_used_once_named);
    CPPUNIT_TEST(leader_departed_worker_is_not_waited_for);
    CPPUNIT_TEST(leader_departing_worker_is_stored_until_its_lease_expires);
    CPPUNIT_TEST(leader_departing_worker_listed_again_stays_stored);
    CPPUNIT_TEST(leader_silent_worker_is_stored_only_while_a_run_may_be_there);
    CPPUNIT_TEST(leader_withdrawn_worker_is_stored_again_before_it_is_used);
    CPPUNIT_TEST(leader_hands_over_without_silent_worker_on_which_nothing_runs);
    CPPUNIT_TEST(leader_whose_workers_answer_hands_over_at_once);
    CPPUNIT_TEST(leader_worker_with_unstored_end_is_not_asked_at_each_write);
    CPPUNIT_TEST(leader_isolated_grants_no_lease_and_starts_nothing);
    CPPUNIT_TEST(leader_job_of_later_epoch_steps_down);
    CPPUNIT_TEST(leader_final_job_is_removed_after_retention);
    CPPUNIT_TEST(leader_unfinished_job_is_not_removed);
    CPPUNIT_TEST(leader_final_job_leaves_empty_row);
    CPPUNIT_TEST(leader_takes_over_state_of_emptied_job);
    CPPUNIT_TEST_SUITE_END();

public:
    void leader_job_of_own_epoch_starts_despite_unresponsive_worker()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", false);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
    }

    void leader_job_of_former_epoch_waits_for_unresponsive_worker()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", false);
        harness.put_used_worker("w2");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("former", epoch - 1);
        CPPUNIT_ASSERT(!harness.wait_started("former", soon));
    }

    // The daemon that stored the job has notified the former leader.
    void leader_job_found_after_fencing_waits_for_unresponsive_worker()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", false);
        harness.put_used_worker("w2");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.run([&] { harness.put_job("former", epoch - 1); });
        CPPUNIT_ASSERT(!harness.wait_started("former", soon));
    }

    void leader_job_without_epoch_waits_for_unresponsive_worker()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", false);
        harness.put_used_worker("w2");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.run([&] { harness.put_job("no_epoch", 0); });
        CPPUNIT_ASSERT(!harness.wait_started("no_epoch", soon));
    }

    // Guards against a listed address that does not answer, as another writer
    // may leave it (review/9): accepted jobs wait 30 s for it after each change
    // of leaders.
    void leader_listed_worker_that_was_never_used_is_not_waited_for()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("odd", false);
        harness.put_job("former", epoch - 1);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_started("former", soon));
        CPPUNIT_ASSERT(!harness.wait_stored("odd", milliseconds(100)));
        // It is used once it answers.
        harness.run([&] { harness.answer_again("odd"); });
        CPPUNIT_ASSERT(harness.wait_stored("odd", soon));
    }

    void leader_all_workers_answer_starts_every_job()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.put_job("before", epoch - 1);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_started("before", soon));
        harness.run([&] { harness.put_job("no_epoch", 0); });
        CPPUNIT_ASSERT(harness.wait_started("no_epoch", soon));
    }

    // Guards against a second run of a task after a store outage: the worker
    // that will report the first run's end is not on the list yet.
    void leader_inherited_job_waits_for_workers_not_listed_yet()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.set_list_complete(false);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("former", epoch - 1);
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        CPPUNIT_ASSERT(!harness.wait_started("former", milliseconds(300)));
        harness.run([&] { harness.set_list_complete(true); });
        CPPUNIT_ASSERT(harness.wait_started("former", soon));
    }

    // Guards against the same if the store becomes unavailable between the
    // takeover and the first list of workers.
    void leader_inherited_job_waits_until_list_is_read()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.set_list_readable(false);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(!harness.wait_started("none", milliseconds(300)));
        harness.run(
            [&]
            {
                harness.set_list_complete(false);
                harness.set_list_readable(true);
            });
        harness.send_job("own", epoch);
        harness.send_job("former", epoch - 1);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        CPPUNIT_ASSERT(!harness.wait_started("former", milliseconds(300)));
    }

    // Guards against seed 1043 of the soak: a worker that did not answer was no
    // longer listed when a new leader took over, and its lease still lasted.
    void leader_inherited_job_waits_for_used_worker_off_the_list()
    {
        cell_options options;
        options.fleet.longest_lease = milliseconds(5000);
        leadership_harness harness(epoch, options);
        harness.add_worker("w1", true);
        harness.put_used_worker("w2");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("former", epoch - 1);
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        CPPUNIT_ASSERT(!harness.wait_started("former", soon));
        // Until its lease has certainly expired.
        CPPUNIT_ASSERT(harness.wait_started("former", milliseconds(8000)));
    }

    // Guards against a wait of 10 s after the lease of a lost worker, if the
    // only daemon of its zone is lost as well (review/14).
    void leader_without_daemon_near_lost_worker_asks_another_one_there()
    {
        CPPUNIT_ASSERT(starts_after_lease_of_lost_worker(""));
    }

    // Nobody answers in a zone that is cut off, and its workers may run on.
    void leader_without_answer_from_zone_waits_longer()
    {
        CPPUNIT_ASSERT(!starts_after_lease_of_lost_worker("cut-off"));
    }

    void leader_worker_is_stored_before_it_is_used()
    {
        leadership_harness harness(epoch);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.run(
            [&]
            {
                harness.add_worker("w1", true);
                harness.add_worker("w2", true);
            });
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        harness.run([&] { CPPUNIT_ASSERT(!harness.unstored_worker_used()); });
    }

    // Guards against the entry of another writer (review/9) whose capacity
    // counts as used by every team with a limit after a takeover.
    void leader_worker_of_unknown_service_uses_up_no_limit()
    {
        leadership_harness harness(epoch);
        harness.limit_team(2000);
        harness.add_worker("w1", true);
        harness.add_worker_of_other_service("odd");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        CPPUNIT_ASSERT(!harness.wait_stored("odd", milliseconds(100)));
    }

    // Guards against workers that stay unused though the catalogue names their
    // service later.
    void leader_worker_of_unknown_service_is_used_once_named()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker_of_other_service("later");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(!harness.wait_stored("later", milliseconds(100)));
        harness.run(
            [&]
            {
                harness.answer_again("later");
                harness.name_other_service();
            });
        CPPUNIT_ASSERT(harness.wait_stored("later", soon));
    }

    // Many workers may leave at short notice shortly before the leader is lost.
    // One that did not announce it may be cut off, with its tasks running.
    void leader_departed_worker_is_not_waited_for()
    {
        cell_options options;
        options.worker_report_interval = milliseconds(1500);
        leadership_harness harness(epoch, options);
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.add_worker("w3", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.run(
            [&]
            {
                harness.report_run("w2");
                harness.report_run("w3");
            });
        harness.send_job("own", epoch);
        CPPUNIT_ASSERT(harness.wait_started("own", soon));
        harness.run([&] { harness.announce_departure("w2"); });
        CPPUNIT_ASSERT(!harness.wait_not_stored("w2", milliseconds(200)));
        harness.run(
            [&]
            {
                harness.remove_worker("w2");
                harness.remove_worker("w3");
            });
        CPPUNIT_ASSERT(harness.wait_not_stored("w2", milliseconds(2000)));
        CPPUNIT_ASSERT(!harness.wait_not_stored("w3", milliseconds(500)));
        // It was only cut off: its tasks must not lose their lease.
        harness.run([&] { harness.answer_again("w2"); });
        CPPUNIT_ASSERT(harness.wait_stored("w2", milliseconds(2000)));
    }

    // Guards against two runs of a task (review/12): a worker that announced
    // its departure is cut off, and its entry expires while its lease lasts. A
    // leader that takes over right then starts its tasks elsewhere.
    void leader_departing_worker_is_stored_until_its_lease_expires()
    {
        leadership_harness harness(epoch, reporting_workers());
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(harness.wait_stored("w2", soon));
        harness.run(
            [&]
            {
                harness.report_run("w2");
                harness.announce_departure("w2");
            });
        // Its last report is three intervals old when the entry is removed.
        CPPUNIT_ASSERT(!harness.wait_not_stored("w2", milliseconds(700)));
        harness.run([&] { harness.remove_worker("w2"); });
        CPPUNIT_ASSERT(!harness.wait_not_stored("w2", milliseconds(1700)));
        CPPUNIT_ASSERT(harness.wait_not_stored("w2", milliseconds(2000)));
    }

    // Guards against the loss of the stored entry of a worker in use, which is
    // listed again for a moment only.
    void leader_departing_worker_listed_again_stays_stored()
    {
        leadership_harness harness(epoch, reporting_workers());
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(harness.wait_stored("w2", soon));
        harness.run(
            [&]
            {
                harness.report_run("w2");
                harness.announce_departure("w2");
            });
        CPPUNIT_ASSERT(!harness.wait_not_stored("w2", milliseconds(700)));
        harness.run([&] { harness.remove_worker("w2"); });
        std::this_thread::sleep_for(milliseconds(100));
        harness.run([&] { harness.announce_departure("w2"); });
        std::this_thread::sleep_for(milliseconds(700));
        harness.run([&] { harness.remove_worker("w2"); });
        CPPUNIT_ASSERT(!harness.wait_not_stored("w2", milliseconds(300)));
    }

    // Guards against accepted work that waits for a lost worker on which
    // nothing runs (review/14), when its leader is lost as well.
    void leader_silent_worker_is_stored_only_while_a_run_may_be_there()
    {
        leadership_harness harness(epoch);
        for (const char* id : {"w1", "w2", "w3"})
        {
            harness.add_worker(id, true);
        }
        harness.run([&] { harness.report_run("w3"); });
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        for (const char* id : {"w1", "w2", "w3"})
        {
            CPPUNIT_ASSERT(harness.wait_stored(id, soon));
        }
        CPPUNIT_ASSERT(harness.wait_reported("w2", soon));
        CPPUNIT_ASSERT(harness.wait_reported("w3", soon));
        harness.run(
            [&]
            {
                harness.fall_silent("w2");
                harness.fall_silent("w3");
            });
        CPPUNIT_ASSERT(harness.wait_not_stored("w2", soon));
        CPPUNIT_ASSERT(!harness.wait_not_stored("w3", milliseconds(500)));
        CPPUNIT_ASSERT(harness.wait_stored("w1", milliseconds(0)));
    }

    // Guards against two runs of a task: a worker that is not stored gets none,
    // and one that answers again is stored before it does.
    void leader_withdrawn_worker_is_stored_again_before_it_is_used()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(harness.wait_stored("w1", soon));
        CPPUNIT_ASSERT(harness.wait_reported("w1", soon));
        harness.run([&] { harness.fall_silent("w1"); });
        CPPUNIT_ASSERT(harness.wait_not_stored("w1", soon));
        harness.send_job("job", epoch);
        CPPUNIT_ASSERT(!harness.wait_started("job", milliseconds(300)));
        harness.run([&] { harness.answer_again("w1"); });
        CPPUNIT_ASSERT(harness.wait_started("job", soon));
        bool unstored_worker_used = true;
        harness.run([&]
                    { unstored_worker_used = harness.unstored_worker_used(); });
        CPPUNIT_ASSERT(!unstored_worker_used);
    }

    // Guards against the same wait after a planned stop of the leader, which
    // has not missed an answer of the lost worker yet (review/14).
    void leader_hands_over_without_silent_worker_on_which_nothing_runs()
    {
        leadership_harness harness(epoch);
        for (const char* id : {"w1", "w2", "w3"})
        {
            harness.add_worker(id, true);
        }
        harness.run([&] { harness.report_run("w3"); });
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        for (const char* id : {"w1", "w2", "w3"})
        {
            CPPUNIT_ASSERT(harness.wait_stored(id, soon));
        }
        for (const char* id : {"w1", "w2", "w3"})
        {
            CPPUNIT_ASSERT(harness.wait_reported(id, soon));
        }
        harness.run(
            [&]
            {
                harness.fall_silent("w2");
                harness.fall_silent("w3");
                harness.prepare_hand_over();
            });
        CPPUNIT_ASSERT(harness.wait_hand_over(soon));
        CPPUNIT_ASSERT(harness.wait_not_stored("w2", milliseconds(0)));
        CPPUNIT_ASSERT(harness.wait_stored("w1", milliseconds(0)));
        CPPUNIT_ASSERT(harness.wait_stored("w3", milliseconds(0)));
    }

    void leader_whose_workers_answer_hands_over_at_once()
    {
        cell_options options;
        options.idle_answer_timeout = std::chrono::minutes(1);
        leadership_harness harness(epoch, options);
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(harness.wait_stored("w1", soon));
        CPPUNIT_ASSERT(harness.wait_stored("w2", soon));
        CPPUNIT_ASSERT(harness.wait_reported("w1", soon));
        CPPUNIT_ASSERT(harness.wait_reported("w2", soon));
        harness.run([&] { harness.prepare_hand_over(); });
        CPPUNIT_ASSERT(harness.wait_hand_over(soon));
        CPPUNIT_ASSERT(harness.wait_stored("w1", milliseconds(0)));
        CPPUNIT_ASSERT(harness.wait_stored("w2", milliseconds(0)));
    }

    // The load that it answers: many jobs end while the end of one is not
    // stored yet. Each renewal costs a thin link two frames and tells nothing
    // new.
    void leader_worker_with_unstored_end_is_not_asked_at_each_write()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.add_worker("w2", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("held", epoch);
        CPPUNIT_ASSERT(harness.wait_started("held", soon));
        harness.run(
            [&]
            {
                harness.hold_writes("held", true);
                harness.report_end("w1", "held");
            });
        int before = 0;
        harness.run([&] { before = harness.renewals("w1"); });
        constexpr int jobs = 60;
        int sent = 0;
        for (int i = 0; sent < jobs; ++i)
        {
            const std::string id = "job-" + std::to_string(i);
            if (harness.same_part(id, "held"))
            {
                continue;
            }
            ++sent;
            harness.send_job(id, epoch);
            harness.run([&] { harness.report_end("w2", id); });
            std::this_thread::sleep_for(milliseconds(10));
        }
        int asked = 0;
        harness.run([&] { asked = harness.renewals("w1") - before; });
        // The pause between renewals is 250 ms.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(asked), asked <= 12);
        harness.run([&] { harness.hold_writes("held", false); });
    }

    // Guards against two runs of a task: the next leader assumes that leases of
    // a leader that was isolated along with its workers have expired.
    void leader_isolated_grants_no_lease_and_starts_nothing()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.send_job("before", epoch);
        CPPUNIT_ASSERT(harness.wait_started("before", soon));
        int granted = 0;
        harness.run(
            [&]
            {
                harness.set_isolated(true);
                granted = harness.leases();
            });
        CPPUNIT_ASSERT(granted > 0);
        harness.send_job("after", epoch);
        CPPUNIT_ASSERT(!harness.wait_started("after", milliseconds(500)));
        harness.run([&] { CPPUNIT_ASSERT_EQUAL(granted, harness.leases()); });
        harness.run([&] { harness.set_isolated(false); });
        CPPUNIT_ASSERT(harness.wait_started("after", milliseconds(3000)));
    }

    void leader_job_of_later_epoch_steps_down()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        harness.run([&] { harness.put_job("later", epoch + 1); });
        CPPUNIT_ASSERT(harness.wait_lost(soon));
        CPPUNIT_ASSERT(!harness.wait_started("later", milliseconds(100)));
    }

    void leader_final_job_is_removed_after_retention()
    {
        leadership_harness harness(epoch, short_retention());
        harness.add_worker("w1", true);
        harness.put_job("final", epoch - 1);
        harness.put_completed("final");
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
        CPPUNIT_ASSERT(!harness.wait_removed("final", milliseconds(100)));
        CPPUNIT_ASSERT(harness.wait_removed("final", soon));
    }

    void leader_unfinished_job_is_not_removed()
    {
        leadership_harness harness(epoch, short_retention());
        harness.add_worker("w1", true);
        harness.put_job("open", epoch - 1);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_started("open", soon));
        CPPUNIT_ASSERT(!harness.wait_removed("open", milliseconds(600)));
    }

    // The load that it answers: a takeover on a thin link after thousands of
    // jobs, most of them final.
    void leader_final_job_leaves_empty_row()
    {
        leadership_harness harness(epoch);
        harness.add_worker("w1", true);
        harness.put_job("final", epoch - 1);
        harness.put_job("open", epoch - 1);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_started("final", soon));
        CPPUNIT_ASSERT(harness.wait_started("open", soon));
        CPPUNIT_ASSERT(!harness.wait_emptied("final", milliseconds(300)));
        harness.run([&] { harness.report_end("w1", "final"); });
        CPPUNIT_ASSERT(harness.wait_emptied("final", milliseconds(3000)));
        CPPUNIT_ASSERT(harness.state_of("final") == jobs::job_state::completed);
        CPPUNIT_ASSERT(!harness.wait_emptied("open", milliseconds(50)));
    }

    // Guards against a final job that runs again, or that is not known any
    // more.
    void leader_takes_over_state_of_emptied_job()
    {
        leadership_harness harness(epoch, short_retention());
        harness.add_worker("w1", true);
        harness.put_emptied("final");
        harness.put_job("open", epoch - 1);
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_started("open", soon));
        CPPUNIT_ASSERT(harness.state_of("final") == jobs::job_state::completed);
        // A copy that was held up on its way.
        harness.send_job("final", epoch - 1);
        CPPUNIT_ASSERT(!harness.wait_started("final", milliseconds(200)));
        CPPUNIT_ASSERT(harness.wait_removed("final", soon));
    }

private:
    // Workers that report every 200 ms, and short leases.
    static cell_options reporting_workers()
    {
        cell_options options;
        options.worker_report_interval = milliseconds(200);
        options.fleet.lease = milliseconds(2000);
        options.fleet.longest_lease = options.fleet.lease;
        return options;
    }

    static cell_options short_retention()
    {
        cell_options options;
        options.final_job_retention = milliseconds(300);
        options.removal_period = milliseconds(20);
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leadership_test);

} // namespace coltsfootrack::cell
