// Guards against jobs that run though they were cancelled (review/8): the
// cancellation arrived before the submission, which had waited at a paused
// daemon or in a late call of the store.

#include "leadership_harness.hpp"

#include <coltsfootrack/cell/early_cancel_limit.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t epoch = 5;

constexpr milliseconds soon{1000};
constexpr milliseconds short_time{300};

const cancel_right of_team{base::team_id("t"), ""};
const cancel_right of_other_team{base::team_id("u"), ""};
const cancel_right of_queue{base::team_id(), "q"};
const cancel_right of_other_queue{base::team_id("u"), "r"};

// A leader with one worker that answers; team "t" submits to queue "q".
class ready_leader
{
public:
    explicit ready_leader(const cell_options& options = {})
        : harness(epoch, options)
    {
        harness.set_team("t");
        harness.add_worker("w1", true);
    }

    void begin()
    {
        harness.begin();
        CPPUNIT_ASSERT(harness.wait_loaded(soon));
    }

    leadership_harness harness;
};

} // namespace

class early_cancel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(early_cancel_test);
    CPPUNIT_TEST(job_stored_after_its_cancellation_never_starts);
    CPPUNIT_TEST(job_sent_by_its_daemon_after_its_cancellation_never_starts);
    CPPUNIT_TEST(job_and_cancellation_of_former_leader_never_start);
    CPPUNIT_TEST(job_stored_before_its_cancellation_is_stopped);
    CPPUNIT_TEST(job_is_not_cancelled_without_the_right);
    CPPUNIT_TEST(cancellation_is_removed_after_retention);
    CPPUNIT_TEST(limit_bounds_all_and_each_right);
    CPPUNIT_TEST(right_survives_its_stored_form);
    CPPUNIT_TEST(row_key_names_the_job);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_stored_after_its_cancellation_never_starts()
    {
        for (const cancel_right& right : {of_team, of_queue})
        {
            ready_leader leader;
            leader.begin();
            leader.harness.run(
                [&] { leader.harness.put_early_cancel("job", right); });
            std::this_thread::sleep_for(short_time);
            leader.harness.run([&] { leader.harness.put_job("job", epoch); });
            CPPUNIT_ASSERT(!leader.harness.wait_started("job", short_time));
            CPPUNIT_ASSERT(leader.harness.state_of("job") ==
                           jobs::job_state::cancelled);
        }
    }

    // The notice of the daemon overtakes the leader's own read of the row.
    void job_sent_by_its_daemon_after_its_cancellation_never_starts()
    {
        ready_leader leader;
        leader.begin();
        leader.harness.run(
            [&] { leader.harness.put_early_cancel("job", of_team); });
        std::this_thread::sleep_for(short_time);
        leader.harness.send_job("job", epoch);
        CPPUNIT_ASSERT(!leader.harness.wait_started("job", short_time));
    }

    // After a change of leaders, whichever row was stored first.
    void job_and_cancellation_of_former_leader_never_start()
    {
        for (const bool job_first : {true, false})
        {
            ready_leader leader;
            if (job_first)
            {
                leader.harness.put_job("job", epoch - 1);
            }
            leader.harness.put_early_cancel("job", of_team);
            if (!job_first)
            {
                leader.harness.put_job("job", epoch - 1);
            }
            leader.begin();
            CPPUNIT_ASSERT(!leader.harness.wait_started("job", short_time));
            CPPUNIT_ASSERT(leader.harness.state_of("job") ==
                           jobs::job_state::cancelled);
            // One that arrives only now.
            leader.harness.run(
                [&] { leader.harness.put_early_cancel("late", of_team); });
            std::this_thread::sleep_for(short_time);
            leader.harness.send_job("late", epoch - 1);
            CPPUNIT_ASSERT(!leader.harness.wait_started("late", short_time));
        }
    }

    // The daemon read that there is no job, and stored the cancellation when
    // there was one.
    void job_stored_before_its_cancellation_is_stopped()
    {
        ready_leader leader;
        leader.begin();
        leader.harness.send_job("job", epoch);
        CPPUNIT_ASSERT(leader.harness.wait_started("job", soon));
        leader.harness.run(
            [&] { leader.harness.put_early_cancel("job", of_team); });
        std::this_thread::sleep_for(short_time);
        CPPUNIT_ASSERT(leader.harness.state_of("job") ==
                       jobs::job_state::cancelled);
    }

    // Guards against accepted work that is lost to a stranger's call.
    void job_is_not_cancelled_without_the_right()
    {
        for (const cancel_right& right :
             {of_other_team, of_other_queue, cancel_right()})
        {
            ready_leader leader;
            leader.harness.put_early_cancel("before", right);
            leader.harness.put_job("before", epoch - 1);
            leader.harness.put_early_cancel("job", right);
            leader.begin();
            leader.harness.send_job("job", epoch);
            CPPUNIT_ASSERT(leader.harness.wait_started("job", soon));
            CPPUNIT_ASSERT(leader.harness.wait_started("before", soon));
        }
    }

    // Guards against rows that stay for good, also those of a former leader
    // and those that cannot be parsed.
    void cancellation_is_removed_after_retention()
    {
        cell_options options;
        options.early_cancel_retention = milliseconds(600);
        options.removal_period = milliseconds(50);
        ready_leader leader(options);
        leader.harness.put_early_cancel("former", of_team);
        leader.begin();
        leader.harness.run(
            [&]
            {
                for (int i = 0; i < 200; ++i)
                {
                    leader.harness.put_early_cancel("job" + std::to_string(i),
                                                    of_queue);
                }
            });
        CPPUNIT_ASSERT(!leader.harness.wait_no_early_cancel("former", of_team,
                                                            short_time));
        CPPUNIT_ASSERT(
            leader.harness.wait_no_early_cancel("former", of_team, soon));
        for (int i = 0; i < 200; ++i)
        {
            CPPUNIT_ASSERT(leader.harness.wait_no_early_cancel(
                "job" + std::to_string(i), of_queue, 2 * soon));
        }
        // The id is free again.
        leader.harness.send_job("former", epoch);
        CPPUNIT_ASSERT(leader.harness.wait_started("former", soon));
    }

    // Guards against a caller that fills the store by cancelling random ids.
    void limit_bounds_all_and_each_right()
    {
        const base::time_point start{};
        early_cancel_limit::limits limits;
        limits.most = 5;
        limits.most_of_right = 2;
        limits.window = std::chrono::seconds(10);
        early_cancel_limit limit(limits);
        CPPUNIT_ASSERT(limit.try_take("a", of_team, start));
        CPPUNIT_ASSERT(limit.try_take("b", of_team, start));
        CPPUNIT_ASSERT(!limit.try_take("c", of_team, start));
        // The same call again.
        CPPUNIT_ASSERT(limit.try_take("a", of_team, start));
        CPPUNIT_ASSERT(limit.try_take("d", of_queue, start));
        CPPUNIT_ASSERT(limit.try_take("e", of_queue, start));
        CPPUNIT_ASSERT(limit.try_take("f", of_other_team, start));
        CPPUNIT_ASSERT(!limit.try_take("g", of_other_team, start));
        limit.give_back("b");
        limit.give_back("b");
        CPPUNIT_ASSERT(limit.try_take("c", of_team, start));
        CPPUNIT_ASSERT(!limit.try_take("b", of_team, start));
        CPPUNIT_ASSERT(
            !limit.try_take("h", of_team, start + milliseconds(9999)));
        CPPUNIT_ASSERT(
            limit.try_take("h", of_team, start + milliseconds(10000)));
    }

    void right_survives_its_stored_form()
    {
        for (const cancel_right& right :
             {of_team, of_queue, of_other_queue, cancel_right()})
        {
            const auto read = decode_cancel_right(encode(right));
            CPPUNIT_ASSERT(read.ok());
            CPPUNIT_ASSERT(*read == right);
        }
        for (const char* text : {"", "{}", "7", "[\"t\",\"q\"]",
                                 "{\"team\":1,\"open_queue\":\"q\"}"})
        {
            CPPUNIT_ASSERT(!decode_cancel_right(text).ok());
        }
    }

    void row_key_names_the_job()
    {
        const row_layout layout(16);
        const base::job_id job("0123456789abcdef");
        const row_id row = layout.early_cancel(job, of_team);
        CPPUNIT_ASSERT(row_layout::early_cancelled_job(row.key) == job);
        CPPUNIT_ASSERT(row.part == layout.job(job).part);
        CPPUNIT_ASSERT(row != layout.early_cancel(job, of_other_team));
        for (const row_id& other : {layout.job(job), layout.cancel(job)})
        {
            CPPUNIT_ASSERT(!row_layout::early_cancelled_job(other.key));
        }
        CPPUNIT_ASSERT(!row_layout::cancelled_job(row.key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(early_cancel_test);

} // namespace coltsfootrack::cell
