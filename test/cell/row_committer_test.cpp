// Tests of the group commit of rows: what was reported as stored stays stored,
// even if the store's answers are lost or the leader changes.

#include "fake_store.hpp"

#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/cell/row_committer.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{};
const row_id progress_row{"progress", "p0", "a"};
const row_id fence_row{"cell", "p0", "fence"};

row_committer::callback record(std::vector<write_status>& seen)
{
    return [&seen](write_status status)
    {
        seen.push_back(status);
    };
}

transaction_result answer(transaction_status status)
{
    transaction_result result;
    result.status = status;
    return result;
}

} // namespace

class row_committer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(row_committer_test);
    CPPUNIT_TEST(insert_of_new_row_is_stored);
    CPPUNIT_TEST(insert_of_known_row_reports_exists);
    CPPUNIT_TEST(insert_behind_blocking_row_is_blocked);
    CPPUNIT_TEST(insert_carried_out_late_behind_blocking_row_writes_nothing);
    CPPUNIT_TEST(transaction_stays_within_entries_of_store);
    CPPUNIT_TEST(insert_lost_answer_is_unknown_and_found_on_retry);
    CPPUNIT_TEST(insert_refused_by_store_is_refused_at_once);
    CPPUNIT_TEST(insert_store_unresponsive_is_refused_at_once);
    CPPUNIT_TEST(insert_behind_slow_transaction_is_refused_in_time);
    CPPUNIT_TEST(update_not_urgent_waits_for_others);
    CPPUNIT_TEST(update_within_group_delay_is_replaced_by_final_one);
    CPPUNIT_TEST(update_due_after_group_delay_is_written);
    CPPUNIT_TEST(insert_beyond_limit_is_refused);
    CPPUNIT_TEST(update_after_lost_answer_keeps_newest_value);
    CPPUNIT_TEST(update_dropped_in_flight_is_not_sent_again);
    CPPUNIT_TEST(update_under_lost_fence_is_fenced);
    CPPUNIT_TEST(update_without_fence_is_fenced);
    CPPUNIT_TEST(row_that_store_rejects_holds_back_no_other);
    CPPUNIT_TEST(transaction_stays_within_bytes_of_store);
    CPPUNIT_TEST(random_faults_never_lose_stored_values);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one row that is too long for the store and stops all jobs
    // of its part, since it was sent again with them for ever.
    void row_that_store_rejects_holds_back_no_other()
    {
        row_committer committer;
        committer.set_fence(row_condition{fence_row, 1});
        fake_store store;
        store.put(fence_row, "1");
        std::map<std::string, write_status> seen;
        const auto note = [&seen](const std::string& key)
        {
            return [&seen, key](write_status status)
            {
                seen[key] = status;
            };
        };
        const std::size_t longest = 100;
        for (const char* key : {"a", "b", "long", "c"})
        {
            const std::string value(key == std::string("long") ? 101 : 9, 'x');
            committer.update({"progress", "p0", key}, value, true, start,
                             note(key));
        }
        committer.insert({"jobs", "p0", "new"}, "1", start,
                         start + milliseconds(1000), note("new"));
        for (int i = 0; i < 20 && !committer.idle(); ++i)
        {
            const auto group = committer.next(start);
            CPPUNIT_ASSERT(group);
            const bool too_long = std::any_of(
                group->writes.begin(), group->writes.end(),
                [&](const row_write& write)
                { return write.value && write.value->size() > longest; });
            committer.on_result(too_long ? answer(transaction_status::rejected)
                                         : store.apply(*group),
                                start);
        }
        CPPUNIT_ASSERT(committer.idle());
        for (const char* key : {"a", "b", "c", "new"})
        {
            CPPUNIT_ASSERT_MESSAGE(key, seen[key] == write_status::stored);
        }
        CPPUNIT_ASSERT(seen["long"] == write_status::rejected);
    }

    // Guards against a transaction of many long rows that is rejected whole.
    void transaction_stays_within_bytes_of_store()
    {
        row_committer committer;
        committer.set_fence(row_condition{fence_row, 1});
        constexpr std::size_t row_bytes = 60000;
        constexpr std::size_t platform_limit = 1000000;
        std::vector<write_status> seen;
        for (int i = 0; i < 40; ++i)
        {
            committer.update({"progress", "p0", std::to_string(i)},
                             std::string(row_bytes, 'x'), true, start,
                             record(seen));
        }
        std::size_t written = 0;
        while (const auto group = committer.next(start))
        {
            // Each value is sent as base64.
            CPPUNIT_ASSERT(group->writes.size() * row_bytes * 4 / 3 <
                           platform_limit);
            written += group->writes.size();
            committer.on_result(answer(transaction_status::committed), start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), written);
    }

    // Guards against jobs that are stored though they were cancelled first
    // (review/8), and against others of the same transaction that are refused
    // with them.
    void insert_behind_blocking_row_is_blocked()
    {
        const row_id blocking{"jobs", "p0", "a~1"};
        const row_id other_blocking{"jobs", "p0", "b~1"};
        row_committer committer;
        fake_store store;
        store.put(blocking, "x");
        std::vector<write_status> blocked;
        std::vector<write_status> stored;
        committer.insert({"jobs", "p0", "a"}, "1", start,
                         start + milliseconds(1000), record(blocked), blocking);
        committer.insert({"jobs", "p0", "b"}, "1", start,
                         start + milliseconds(1000), record(stored),
                         other_blocking);
        while (const auto group = committer.next(start))
        {
            committer.on_result(store.apply(*group), start);
        }
        CPPUNIT_ASSERT(blocked == std::vector{write_status::blocked});
        CPPUNIT_ASSERT(stored == std::vector{write_status::stored});
        CPPUNIT_ASSERT(!store.read({"jobs", "p0", "a"}).exists());
        // A row that was stored before the blocking one stays what it is.
        store.put(other_blocking, "x");
        committer.insert({"jobs", "p0", "b"}, "1", start,
                         start + milliseconds(1000), record(stored),
                         other_blocking);
        committer.on_result(store.apply(*committer.next(start)), start);
        CPPUNIT_ASSERT(stored.back() == write_status::stored);
    }

    // The same for a call that the store carries out seconds later.
    void insert_carried_out_late_behind_blocking_row_writes_nothing()
    {
        const row_id blocking{"jobs", "p0", "a~1"};
        row_committer committer;
        fake_store store;
        std::vector<write_status> seen;
        committer.insert({"jobs", "p0", "a"}, "1", start,
                         start + milliseconds(1000), record(seen), blocking);
        const auto group = committer.next(start);
        committer.on_result(answer(transaction_status::unknown), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::unknown});
        store.put(blocking, "x");
        CPPUNIT_ASSERT(store.apply(*group).status ==
                       transaction_status::conflict);
    }

    // Guards against transactions that the store rejects whole.
    void transaction_stays_within_entries_of_store()
    {
        row_committer committer;
        committer.set_fence(row_condition{fence_row, 1});
        constexpr std::size_t platform_limit = 100;
        std::vector<write_status> seen;
        for (int i = 0; i < 120; ++i)
        {
            const std::string key = std::to_string(i);
            if (i % 3 == 0)
            {
                committer.update({"progress", "p0", key}, "1", true, start,
                                 record(seen));
                continue;
            }
            committer.insert({"jobs", "p0", key}, "1", start,
                             start + milliseconds(1000), record(seen),
                             row_id{"jobs", "p0", key + "~1"});
        }
        while (const auto group = committer.next(start))
        {
            CPPUNIT_ASSERT(group->conditions.size() + group->writes.size() <=
                           platform_limit);
            committer.on_result(answer(transaction_status::committed), start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(120), seen.size());
    }

    void insert_of_new_row_is_stored()
    {
        row_committer committer;
        fake_store store;
        std::vector<write_status> seen;
        committer.insert(progress_row, "1", start, start + milliseconds(100),
                         record(seen));
        const auto group = committer.next(start);
        CPPUNIT_ASSERT(group);
        CPPUNIT_ASSERT(!committer.next(start));
        committer.on_result(store.apply(*group), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::stored});
        CPPUNIT_ASSERT(store.value(progress_row) == "1");
    }

    void insert_of_known_row_reports_exists()
    {
        row_committer committer;
        fake_store store;
        store.put(progress_row, "other");
        std::vector<write_status> seen;
        committer.insert(progress_row, "1", start, start + milliseconds(100),
                         record(seen));
        committer.on_result(store.apply(*committer.next(start)), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::exists});
        CPPUNIT_ASSERT(store.value(progress_row) == "other");
    }

    // Guards against refusing a job whose row was written: a caller that
    // retries with the same key must find it stored.
    void insert_lost_answer_is_unknown_and_found_on_retry()
    {
        row_committer committer;
        fake_store store;
        std::vector<write_status> seen;
        committer.insert(progress_row, "1", start, start + milliseconds(5000),
                         record(seen));
        store.apply(*committer.next(start));
        committer.on_result(answer(transaction_status::unknown), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::unknown});
        const auto later = start + milliseconds(1000);
        committer.insert(progress_row, "1", later, later + milliseconds(5000),
                         record(seen));
        committer.on_result(store.apply(*committer.next(later)), later);
        CPPUNIT_ASSERT(seen.back() == write_status::stored);
    }

    void insert_refused_by_store_is_refused_at_once()
    {
        row_committer committer;
        std::vector<write_status> seen;
        committer.insert(progress_row, "1", start, start + milliseconds(5000),
                         record(seen));
        CPPUNIT_ASSERT(committer.next(start));
        committer.on_result(answer(transaction_status::refused), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::refused});
        CPPUNIT_ASSERT(committer.idle());
    }

    // Guards against callers that are kept waiting while the store is known to
    // be down.
    void insert_store_unresponsive_is_refused_at_once()
    {
        row_committer committer;
        std::vector<write_status> seen;
        committer.insert({"jobs", "p0", "a"}, "1", start,
                         start + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT(committer.next(start));
        committer.insert({"jobs", "p0", "b"}, "1", start,
                         start + milliseconds(5000), record(seen));
        committer.on_result(answer(transaction_status::unknown), start);
        // The second was not sent, so it is certainly not stored.
        CPPUNIT_ASSERT(seen == (std::vector{write_status::unknown,
                                            write_status::refused}));
        // A failing store does not get a request from every caller.
        committer.insert({"jobs", "p0", "b"}, "1", start,
                         start + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.size());
        CPPUNIT_ASSERT(seen.back() == write_status::refused);
        // A single insert probes whether the store is back.
        const auto later = start + milliseconds(1000);
        committer.insert({"jobs", "p0", "c"}, "1", later,
                         later + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT(committer.next(later));
        committer.insert({"jobs", "p0", "d"}, "1", later,
                         later + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, seen.size());
        CPPUNIT_ASSERT(seen.back() == write_status::refused);
        transaction_result stored = answer(transaction_status::committed);
        stored.version = 9;
        committer.on_result(stored, later);
        CPPUNIT_ASSERT(seen.back() == write_status::stored);
        CPPUNIT_ASSERT(!committer.last_attempt_failed());
    }

    // Guards against callers that wait behind an unanswered transaction, and
    // against giving up the inserts that were sent in it.
    void insert_behind_slow_transaction_is_refused_in_time()
    {
        row_committer committer;
        std::vector<write_status> seen;
        committer.insert({"jobs", "p0", "a"}, "1", start,
                         start + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT(committer.next(start));
        committer.insert({"jobs", "p0", "b"}, "1", start,
                         start + milliseconds(5000), record(seen));
        committer.next(start + milliseconds(900));
        CPPUNIT_ASSERT(seen.empty());
        const auto later = start + milliseconds(1100);
        committer.next(later);
        CPPUNIT_ASSERT(seen == std::vector{write_status::refused});
        committer.insert({"jobs", "p0", "c"}, "1", later,
                         later + milliseconds(5000), record(seen));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.size());
        transaction_result stored = answer(transaction_status::committed);
        stored.version = 9;
        committer.on_result(stored, later);
        CPPUNIT_ASSERT(seen.back() == write_status::stored);
    }

    void update_not_urgent_waits_for_others()
    {
        row_committer committer;
        committer.set_fence(row_condition{fence_row, 1});
        std::vector<write_status> seen;
        committer.update({"progress", "p0", "a"}, "1", false, start,
                         record(seen));
        CPPUNIT_ASSERT(!committer.next(start + milliseconds(10)));
        committer.update({"progress", "p0", "b"}, "1", true,
                         start + milliseconds(20), record(seen));
        const auto group = committer.next(start + milliseconds(20));
        CPPUNIT_ASSERT(group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, group->writes.size());
    }

    // The tasks of a short job end within some 200 ms: on a thin link one write
    // instead of one each.
    void update_within_group_delay_is_replaced_by_final_one()
    {
        row_committer committer(milliseconds(200));
        committer.set_fence(row_condition{fence_row, 1});
        std::vector<write_status> seen;
        const row_id row{"progress", "p0", "a"};
        committer.update(row, "1 done", false, start, record(seen));
        CPPUNIT_ASSERT(!committer.next(start + milliseconds(60)));
        committer.update(row, "2 done", false, start + milliseconds(90),
                         record(seen));
        CPPUNIT_ASSERT(!committer.next(start + milliseconds(199)));
        committer.update(row, "completed", true, start + milliseconds(199),
                         record(seen));
        const auto group = committer.next(start + milliseconds(199));
        CPPUNIT_ASSERT(group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group->writes.size());
        CPPUNIT_ASSERT(group->writes[0].value == std::string("completed"));
        committer.on_result(answer(transaction_status::committed),
                            start + milliseconds(220));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.size());
    }

    void update_due_after_group_delay_is_written()
    {
        row_committer committer(milliseconds(200));
        committer.set_fence(row_condition{fence_row, 1});
        std::vector<write_status> seen;
        committer.update({"progress", "p0", "a"}, "1", false, start,
                         record(seen));
        CPPUNIT_ASSERT(committer.next(start + milliseconds(200)));
    }

    void insert_beyond_limit_is_refused()
    {
        row_committer committer;
        std::vector<write_status> seen;
        for (std::size_t i = 0; i <= row_committer::max_waiting; ++i)
        {
            committer.insert({"jobs", "p0", std::to_string(i)}, "1", start,
                             start + milliseconds(1000), record(seen));
        }
        CPPUNIT_ASSERT(seen == std::vector{write_status::refused});
    }

    // Guards against a retry that sends two values of one row in a transaction,
    // of which the older may win.
    void update_after_lost_answer_keeps_newest_value()
    {
        row_committer committer;
        fake_store store;
        committer.set_fence(
            row_condition{fence_row, store.put(fence_row, "1")});
        std::vector<write_status> seen;
        committer.update(progress_row, "1", true, start, record(seen));
        CPPUNIT_ASSERT(committer.next(start));
        committer.update(progress_row, "2", true, start, record(seen));
        committer.on_result(answer(transaction_status::unknown), start);
        const auto later = start + milliseconds(1000);
        const auto group = committer.next(later);
        CPPUNIT_ASSERT(group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, group->writes.size());
        committer.on_result(store.apply(*group), later);
        CPPUNIT_ASSERT(store.value(progress_row) == "2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.size());
    }

    // Guards against a former leader that has lost its fence and overwrites the
    // progress of its successor without it.
    void update_dropped_in_flight_is_not_sent_again()
    {
        for (const auto status :
             {transaction_status::conflict, transaction_status::refused,
              transaction_status::unknown})
        {
            row_committer committer;
            committer.set_fence(row_condition{fence_row, 1});
            std::vector<write_status> seen;
            committer.update(progress_row, "1", true, start, record(seen));
            CPPUNIT_ASSERT(committer.next(start));
            committer.drop_updates();
            transaction_result result = answer(status);
            result.current.push_back({progress_row, "newer", 7});
            committer.on_result(result, start);
            CPPUNIT_ASSERT(!committer.next(start + milliseconds(5000)));
            CPPUNIT_ASSERT(seen.empty());
        }
    }

    void update_under_lost_fence_is_fenced()
    {
        row_committer committer;
        fake_store store;
        const std::uint64_t version = store.put(fence_row, "1");
        committer.set_fence(row_condition{fence_row, version});
        std::vector<write_status> seen;
        committer.update(progress_row, "1", true, start, record(seen));
        store.put(fence_row, "2");
        committer.on_result(store.apply(*committer.next(start)), start);
        CPPUNIT_ASSERT(seen == std::vector{write_status::fenced});
        CPPUNIT_ASSERT(!store.value(progress_row));
    }

    // Guards against a write of a daemon that is no longer leader.
    void update_without_fence_is_fenced()
    {
        row_committer committer;
        std::vector<write_status> seen;
        committer.update(progress_row, "1", true, start, record(seen));
        CPPUNIT_ASSERT(seen == std::vector{write_status::fenced});
        CPPUNIT_ASSERT(committer.idle());
    }

    // Successive leaders each start from the state that they read, while the
    // store refuses transactions, loses answers and applies transactions late.
    // A row's value only grows, so a value below the reported one is a lost
    // write.
    void random_faults_never_lose_stored_values()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
        {
            run_random(seed);
        }
    }

private:
    struct leader
    {
        row_committer committer;
        int value = 0;
        std::optional<transaction> in_flight;
    };

    static void run_random(std::uint64_t seed)
    {
        const base::random_source random = base::seeded_random(seed);
        const auto chance = [&](std::uint64_t percent)
        {
            return random() % 100 < percent;
        };
        fake_store store;
        std::vector<std::unique_ptr<leader>> leaders;
        std::vector<transaction> delayed;
        base::time_point now = start;
        int reported = 0;
        for (int turn = 0; turn < 400; ++turn)
        {
            now += milliseconds(40);
            if (leaders.empty() || chance(4))
            {
                if (!leaders.empty() && chance(50))
                {
                    leaders.back()->committer.drop_updates();
                }
                auto next = std::make_unique<leader>();
                const std::uint64_t fence =
                    store.put(fence_row, std::to_string(turn));
                next->committer.set_fence(row_condition{fence_row, fence});
                next->committer.set_version(progress_row,
                                            store.version(progress_row));
                const auto read = store.value(progress_row);
                next->value = read ? std::stoi(*read) : 0;
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                       next->value >= reported);
                leaders.push_back(std::move(next));
            }
            for (const auto& each : leaders)
            {
                if (chance(60))
                {
                    const int value = ++each->value;
                    each->committer.update(
                        progress_row, std::to_string(value), chance(50), now,
                        [&reported, value](write_status status)
                        {
                            if (status == write_status::stored)
                            {
                                reported = std::max(reported, value);
                            }
                        });
                }
                if (!each->in_flight)
                {
                    each->in_flight = each->committer.next(now);
                    continue;
                }
                const transaction sent = *std::exchange(each->in_flight, {});
                const std::uint64_t outcome = random() % 10;
                if (outcome < 6)
                {
                    each->committer.on_result(store.apply(sent), now);
                }
                else if (outcome == 6)
                {
                    each->committer.on_result(
                        answer(transaction_status::refused), now);
                }
                else
                {
                    if (outcome == 7)
                    {
                        store.apply(sent);
                    }
                    else if (outcome == 8)
                    {
                        delayed.push_back(sent);
                    }
                    each->committer.on_result(
                        answer(transaction_status::unknown), now);
                }
            }
            if (!delayed.empty() && chance(30))
            {
                store.apply(delayed.front());
                delayed.erase(delayed.begin());
            }
            const auto stored = store.value(progress_row);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   (stored ? std::stoi(*stored) : 0) >=
                                       reported);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(row_committer_test);

} // namespace coltsfootrack::cell
