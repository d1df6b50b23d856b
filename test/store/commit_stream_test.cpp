// Tests of the commit stream against a naive table.

#include "fault_injection_run.hpp"

#include <coltsfootrack/store/token_bucket.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::store
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::time_point start{};

// Lets several commits start at the same time.
table_options unspaced_options()
{
    table_options options = fault_injection_run::options();
    options.min_commit_interval = milliseconds(0);
    return options;
}

// A stream whose session is registered at version 1.
commit_stream registered_stream(const table_options& options)
{
    commit_stream stream(options, base::seeded_random(1));
    CPPUNIT_ASSERT(stream.next(start).action ==
                   stream_call::action::read_session);
    stream.session_read(std::optional<row>(), start);
    CPPUNIT_ASSERT(stream.next(start).action == stream_call::action::commit);
    stream.commit_answered({commit_answer::result::committed, 1, {}}, start);
    CPPUNIT_ASSERT(stream.take_renewal() == start);
    return stream;
}

} // namespace

class commit_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_stream_test);
    CPPUNIT_TEST(reports_under_faults_agree_with_table);
    CPPUNIT_TEST(reports_under_heavy_faults_agree_with_table);
    CPPUNIT_TEST(stream_idle_renews_every_interval);
    CPPUNIT_TEST(commits_under_load_keep_their_spacing);
    CPPUNIT_TEST(batch_is_bounded_in_count_writes_and_bytes);
    CPPUNIT_TEST(batch_holds_no_mutation_that_depends_on_another);
    CPPUNIT_TEST(conflict_fails_only_its_mutation);
    CPPUNIT_TEST(conflicts_in_series_do_not_delay_renewal);
    CPPUNIT_TEST(refused_batch_fails_only_the_refused_mutation);
    CPPUNIT_TEST(answer_lost_outcome_is_unknown_then_final);
    CPPUNIT_TEST(outage_unsent_mutation_fails_at_its_deadline);
    CPPUNIT_TEST(queue_over_limit_is_overloaded);
    CPPUNIT_TEST(mutation_malformed_is_refused);
    CPPUNIT_TEST(token_bucket_allows_its_rate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a mutation that is reported as committed and did not
    // apply, that applied twice, or that applies after it was reported as not
    // applied; against a mutation without outcome; and against a lease that
    // runs from after the commit was sent.
    void reports_under_faults_agree_with_table()
    {
        CPPUNIT_ASSERT(rc::check("faults",
                                 []
                                 {
                                     fault_injection_run run({});
                                     run.run_with_faults(
                                         *rc::gen::inRange(1, 400));
                                     run.run_to_completion();
                                     run.check_outcomes();
                                 }));
    }

    // As above, with most commits lost from view and applied late.
    void reports_under_heavy_faults_agree_with_table()
    {
        CPPUNIT_ASSERT(
            rc::check("heavy faults",
                      []
                      {
                          fault_injection_run run({20, 10, 50, 5, 0, 40, 3});
                          run.run_with_faults(*rc::gen::inRange(1, 400));
                          run.run_to_completion();
                          run.check_outcomes();
                      }));
    }

    // Guards against a lease that expires while there is no work, and against
    // needless writes.
    void stream_idle_renews_every_interval()
    {
        commit_stream stream = registered_stream(unspaced_options());
        stream_call call = stream.next(start + milliseconds(1999));
        CPPUNIT_ASSERT(call.action == stream_call::action::wait);
        CPPUNIT_ASSERT(call.wake_at == start + seconds(2));
        call = stream.next(start + seconds(2));
        CPPUNIT_ASSERT(call.action == stream_call::action::commit);
        CPPUNIT_ASSERT(call.content.conditions ==
                       (std::vector<condition>{{"session/d1", 1}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, call.content.writes.size());
    }

    // Guards against one daemon making hundreds of commits a second, and
    // against a delay for a mutation that arrives at an idle stream.
    void commits_under_load_keep_their_spacing()
    {
        commit_stream stream =
            registered_stream(fault_injection_run::options());
        int commits = 0;
        version sequence = 1;
        for (std::uint64_t id = 0; id < 1000; ++id)
        {
            const base::time_point now =
                start + milliseconds(static_cast<int>(id));
            CPPUNIT_ASSERT(
                stream.submit(id, mutation().put(std::to_string(id), id), now)
                    .ok());
            const stream_call call = stream.next(now);
            if (call.action == stream_call::action::commit)
            {
                ++commits;
                stream.commit_answered(
                    {commit_answer::result::committed, ++sequence, {}}, now);
            }
            else
            {
                CPPUNIT_ASSERT(call.wake_at <= now + milliseconds(50));
            }
            CPPUNIT_ASSERT(id != 0 || commits == 1);
        }
        CPPUNIT_ASSERT_EQUAL(20, commits);
    }

    // Guards against commits that the platform rejects for their size.
    void batch_is_bounded_in_count_writes_and_bytes()
    {
        table_options options = unspaced_options();
        options.max_batch_mutations = 3;
        options.max_batch_writes = 10;
        options.max_batch_bytes = 1000;
        const auto writes_in_first_batch = [&options](int rows, int bytes)
        {
            commit_stream stream = registered_stream(options);
            for (std::uint64_t id = 0; id < 9; ++id)
            {
                mutation change;
                for (int i = 0; i < rows; ++i)
                {
                    change.put(std::to_string(id) + "/" + std::to_string(i),
                               std::string(bytes, 'x'));
                }
                CPPUNIT_ASSERT(stream.submit(id, change, start).ok());
            }
            return stream.next(start).content.writes.size() - 1;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, writes_in_first_batch(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, writes_in_first_batch(4, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, writes_in_first_batch(1, 400));
    }

    // Guards against two compare-and-set mutations of one row that both apply
    // because they are in one commit.
    void batch_holds_no_mutation_that_depends_on_another()
    {
        commit_stream stream = registered_stream(unspaced_options());
        const auto submit = [&stream](std::uint64_t id, const mutation& change)
        {
            CPPUNIT_ASSERT(stream.submit(id, change, start).ok());
        };
        submit(1, mutation().require("k", 5).put("a", 1));
        submit(2, mutation().require("k", 5).put("k", 2));
        submit(3, mutation().require("k", 5).put("k", 3));
        submit(4, mutation().put("b", 4));
        const stream_call call = stream.next(start);
        CPPUNIT_ASSERT(call.content.conditions ==
                       (std::vector<condition>{{"session/d1", 1}, {"k", 5}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, call.content.writes.size());
    }

    // Guards against a conflict that fails the other mutations of its batch.
    void conflict_fails_only_its_mutation()
    {
        commit_stream stream = registered_stream(unspaced_options());
        CPPUNIT_ASSERT(
            stream.submit(1, mutation().require("a", 3).put("a", 1), start)
                .ok());
        CPPUNIT_ASSERT(
            stream.submit(2, mutation().require("b", 4).put("b", 1), start)
                .ok());
        stream.next(start);
        stream.commit_answered({commit_answer::result::conflict, 0, {"a"}},
                               start);
        stream.next(start);
        stream.commit_answered({commit_answer::result::committed, 9, {}},
                               start);
        const auto reports = stream.take_reports();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reports[0].id);
        CPPUNIT_ASSERT(reports[0].outcome.conflicts ==
                       std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, reports[1].id);
        CPPUNIT_ASSERT_EQUAL(version{9}, reports[1].outcome.version);
    }

    // Guards against a lease that expires while callers cause conflicts.
    void conflicts_in_series_do_not_delay_renewal()
    {
        commit_stream stream = registered_stream(unspaced_options());
        base::time_point now = start;
        for (std::uint64_t id = 0; now < start + seconds(3); ++id)
        {
            now += milliseconds(100);
            CPPUNIT_ASSERT(
                stream.submit(id, mutation().require("a", 3), now).ok());
            const stream_call call = stream.next(now);
            if (call.content.conditions.size() == 1)
            {
                CPPUNIT_ASSERT(now < start + milliseconds(2200));
                return;
            }
            stream.commit_answered({commit_answer::result::conflict, 0, {"a"}},
                                   now);
        }
        CPPUNIT_FAIL("no renewal");
    }

    // Guards against a refused mutation that blocks the stream for ever.
    void refused_batch_fails_only_the_refused_mutation()
    {
        commit_stream stream = registered_stream(unspaced_options());
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            CPPUNIT_ASSERT(
                stream.submit(id, mutation().put(std::to_string(id), id), start)
                    .ok());
        }
        version sequence = 1;
        for (int i = 0; i < 4; ++i)
        {
            const stream_call call = stream.next(start);
            const bool bad = call.content.writes.size() > 2 ||
                             call.content.writes.back().key == "2";
            stream.commit_answered({bad ? commit_answer::result::refused
                                        : commit_answer::result::committed,
                                    ++sequence,
                                    {}},
                                   start);
        }
        const auto reports = stream.take_reports();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, reports.size());
        CPPUNIT_ASSERT(reports[0].outcome.committed());
        CPPUNIT_ASSERT(reports[1].outcome.reason ==
                       base::error_kind::invalid_request);
        CPPUNIT_ASSERT(reports[2].outcome.committed());
    }

    // Guards against a caller that waits without bound, and against an unknown
    // outcome that is never resolved.
    void answer_lost_outcome_is_unknown_then_final()
    {
        for (const bool barrier_applies : {true, false})
        {
            commit_stream stream = registered_stream(unspaced_options());
            CPPUNIT_ASSERT(
                stream.submit(1, mutation().put("a", 1), start).ok());
            const stream_call lost = stream.next(start);
            stream.commit_answered({}, start);
            const base::time_point late = start + seconds(6);
            CPPUNIT_ASSERT(stream.next(late).action ==
                           stream_call::action::read_session);
            auto reports = stream.take_reports();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
            CPPUNIT_ASSERT(!reports[0].outcome.final());

            // The row is still as the registration wrote it.
            stream.session_read(
                std::optional<row>(row{"session/d1", 1, nullptr}), late);
            const stream_call barrier = stream.next(late);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, barrier.content.writes.size());
            if (barrier_applies)
            {
                stream.commit_answered(
                    {commit_answer::result::committed, 2, {}}, late);
            }
            else
            {
                stream.commit_answered(
                    {commit_answer::result::conflict, 0, {"session/d1"}}, late);
                CPPUNIT_ASSERT(stream.next(late).action ==
                               stream_call::action::read_session);
                stream.session_read(
                    std::optional<row>(row{"session/d1", 2,
                                           lost.content.writes.front().value}),
                    late);
            }
            reports = stream.take_reports();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
            CPPUNIT_ASSERT(reports[0].outcome.result ==
                           (barrier_applies
                                ? commit_outcome::result::failed
                                : commit_outcome::result::committed));
            // The caller has given up: the mutation must not be retried.
            CPPUNIT_ASSERT(stream.idle());
        }
    }

    // Guards against callers that wait for the end of an outage.
    void outage_unsent_mutation_fails_at_its_deadline()
    {
        commit_stream stream = registered_stream(unspaced_options());
        CPPUNIT_ASSERT(stream.submit(1, mutation().put("a", 1), start).ok());
        base::time_point now = start;
        int calls = 0;
        for (;;)
        {
            const stream_call call = stream.next(now);
            if (!stream.take_reports().empty())
            {
                break;
            }
            if (call.action == stream_call::action::commit)
            {
                ++calls;
                stream.commit_answered({commit_answer::result::not_sent, 0, {}},
                                       now);
            }
            else
            {
                now = call.wake_at;
            }
        }
        CPPUNIT_ASSERT(now == start + seconds(5));
        // The retry delay doubles up to a second.
        CPPUNIT_ASSERT(calls >= 7 && calls <= 16);
    }

    // Guards against unbounded memory use.
    void queue_over_limit_is_overloaded()
    {
        table_options options = unspaced_options();
        options.max_queued_mutations = 2;
        commit_stream stream = registered_stream(options);
        CPPUNIT_ASSERT(stream.submit(1, mutation().put("a", 1), start).ok());
        CPPUNIT_ASSERT(stream.submit(2, mutation().put("b", 1), start).ok());
        CPPUNIT_ASSERT(
            base::kind_of(stream.submit(3, mutation().put("c", 1), start)) ==
            base::error_kind::overloaded);
        options.max_queued_mutations = 100;
        options.max_queued_bytes = 1000;
        stream = registered_stream(options);
        CPPUNIT_ASSERT(base::kind_of(stream.submit(
                           1, mutation().put("a", std::string(1000, 'x')),
                           start)) == base::error_kind::overloaded);
    }

    // Guards against a mutation that overwrites the session row, and against
    // ones that the platform would reject.
    void mutation_malformed_is_refused()
    {
        commit_stream stream = registered_stream(unspaced_options());
        for (const mutation& change :
             {mutation(), mutation().put("session/d1", 1),
              mutation().require("session/d1", 1).put("a", 1),
              mutation().put("a", 1).put("a", 2),
              mutation().put("a", std::string(600000, 'x'))})
        {
            CPPUNIT_ASSERT(base::kind_of(stream.submit(1, change, start)) ==
                           base::error_kind::invalid_request);
        }
    }

    // Guards against a budget that can be exceeded or that never refills.
    void token_bucket_allows_its_rate()
    {
        CPPUNIT_ASSERT(rc::check(
            "rate",
            []
            {
                const auto rate = *rc::gen::inRange(1, 200);
                token_bucket bucket(rate);
                base::time_point now;
                int taken = 0;
                for (int i = 0; i < 300; ++i)
                {
                    now += milliseconds(*rc::gen::inRange(0, 100));
                    taken += bucket.try_take(1, now) ? 1 : 0;
                    const std::chrono::duration<double> passed =
                        now - base::time_point();
                    RC_ASSERT(taken <= rate + rate * passed.count() + 1e-6);
                }
                RC_ASSERT(taken > 0);
                bucket.charge(10 * rate, now);
                RC_ASSERT(!bucket.try_take(1, now));
                RC_ASSERT(bucket.try_take(1, now + seconds(12)));
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_stream_test);

} // namespace coltsfootrack::store
