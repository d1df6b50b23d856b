// Tests of the table client against the platform stand-in, with injected
// faults.

#include "outcome_recorder.hpp"
#include "test_platform.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/store/session_row.hpp>
#include <coltsfootrack/store/table_client.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <map>
#include <thread>

namespace coltsfootrack::store
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::system_clock clock;

table_options options_for(const test_platform& platform)
{
    table_options options;
    options.platform = platform.address();
    options.session = {base::daemon_id("d1"), "i1", base::zone_id("a1"),
                       "127.0.0.1:1"};
    options.writes_per_second = 100000;
    return options;
}

absl::StatusOr<read_result> read(table_client& table,
                                 std::vector<std::string> keys,
                                 std::vector<std::string> prefixes)
{
    std::promise<absl::StatusOr<read_result>> answer;
    const absl::Status accepted =
        table.read(std::move(keys), std::move(prefixes),
                   [&answer](absl::StatusOr<read_result> result)
                   { answer.set_value(std::move(result)); });
    CPPUNIT_ASSERT(accepted.ok());
    return answer.get_future().get();
}

} // namespace

class table_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_client_test);
    CPPUNIT_TEST(submit_committed_rows_are_read_back);
    CPPUNIT_TEST(submit_from_many_threads_shares_commits);
    CPPUNIT_TEST(outcomes_under_faults_agree_with_history);
    CPPUNIT_TEST(session_fenced_refuses_work_and_calls_hook);
    CPPUNIT_TEST(session_of_previous_incarnation_is_replaced);
    CPPUNIT_TEST(session_idle_is_renewed);
    CPPUNIT_TEST(budget_spent_refuses_reads_and_writes);
    CPPUNIT_TEST(vm_list_is_parsed_and_malformed_is_refused);
    CPPUNIT_TEST(stop_finishes_queued_mutations);
    CPPUNIT_TEST(stop_in_outage_ends_and_reports_all);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a version that cannot be used as the next condition.
    void submit_committed_rows_are_read_back()
    {
        test_platform platform;
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        CPPUNIT_ASSERT(table
                           .submit(mutation()
                                       .require("job/1", 0)
                                       .put("job/1", {{"state", "queued"}}),
                                   seen.outcome_of("first"))
                           .ok());
        seen.wait_until([&] { return seen.outcomes.count("first") == 1; });
        const commit_outcome first = seen.outcomes["first"][0];
        CPPUNIT_ASSERT(first.committed());
        CPPUNIT_ASSERT(seen.renewals > 0);
        CPPUNIT_ASSERT(table
                           .submit(mutation()
                                       .require("job/1", first.version)
                                       .erase("job/1")
                                       .put("job/2", 2),
                                   seen.outcome_of("second"))
                           .ok());
        CPPUNIT_ASSERT(
            table
                .submit(mutation().require("job/1", 0).put("job/3", 3),
                        seen.outcome_of("third"))
                .ok());
        seen.wait_until([&] { return seen.outcomes.size() == 3; });
        const auto rows = read(table, {"job/1", "job/2"}, {"session/"});
        CPPUNIT_ASSERT(rows.ok());
        CPPUNIT_ASSERT(rows->find("job/1") == nullptr);
        CPPUNIT_ASSERT_EQUAL(seen.outcomes["second"][0].version,
                             rows->find("job/2")->version);
        const auto session =
            session_row::from_json(rows->find("session/d1")->value);
        CPPUNIT_ASSERT(session.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("i1"), session->incarnation);
    }

    // Guards against one commit per mutation, which would exceed the write rate
    // of the platform.
    void submit_from_many_threads_shares_commits()
    {
        test_platform platform;
        platform.set_faults({{"slow_ms", 20}});
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread)
        {
            threads.emplace_back(
                [&, thread]
                {
                    for (int i = 0; i < 100; ++i)
                    {
                        const std::string key = "row/" +
                                                std::to_string(thread) + "/" +
                                                std::to_string(i);
                        static_cast<void>(table.submit(mutation().put(key, i),
                                                       seen.outcome_of(key)));
                    }
                });
        }
        for (std::thread& thread : threads)
        {
            thread.join();
        }
        seen.wait_until([&] { return seen.outcomes.size() == 400; });
        for (const auto& [key, outcomes] : seen.outcomes)
        {
            CPPUNIT_ASSERT(outcomes.size() == 1 && outcomes[0].committed());
        }
        const auto counts = platform.send("GET", "/control/counts", nullptr);
        CPPUNIT_ASSERT(counts["commits"].get<int>() <= 40);
    }

    // Guards against an outcome that disagrees with the table, with real
    // connections, timeouts and late commits.
    void outcomes_under_faults_agree_with_history()
    {
        test_platform platform;
        platform.send("PUT", "/control/history", {{"record", true}});
        outcome_recorder seen;
        table_options options = options_for(platform);
        options.call_timeout = milliseconds(100);
        options.mutation_timeout = milliseconds(400);
        options.max_retry_delay = milliseconds(50);
        std::size_t submitted = 0;
        {
            table_client table(options, clock, base::seeded_random(1),
                               seen.hooks());
            const std::vector<nlohmann::json> faults = {
                {{"lose_answers", 1}},
                {{"delay_commits", 2}, {"delay_ms", 150}},
                {{"down", true}},
                {{"down", false}},
                {{"slow_ms", 120}},
                {{"slow_ms", 0}},
                {{"refuse", true}},
                {{"refuse", false}},
                {{"lose_every", 3}},
                {{"lose_every", 0}, {"delay_commits", 1}, {"delay_ms", 700}}};
            for (int round = 0; round < 40; ++round)
            {
                platform.set_faults(faults[round % faults.size()]);
                for (int i = 0; i < 20; ++i)
                {
                    const std::string key = "row/" + std::to_string(submitted);
                    if (table
                            .submit(mutation().put(key, i),
                                    seen.outcome_of(key))
                            .ok())
                    {
                        ++submitted;
                    }
                    std::this_thread::sleep_for(milliseconds(2));
                }
            }
            platform.set_faults({{"down", false},
                                 {"refuse", false},
                                 {"slow_ms", 0},
                                 {"lose_every", 0}});
            seen.wait_until(
                [&]
                {
                    std::size_t final_count = 0;
                    for (const auto& [key, outcomes] : seen.outcomes)
                    {
                        final_count += outcomes.back().final() ? 1 : 0;
                    }
                    return final_count == submitted;
                });
        }
        std::this_thread::sleep_for(milliseconds(800));
        std::map<std::string, std::vector<version>> applied;
        const auto history = platform.send("GET", "/control/history", nullptr);
        for (const auto& commit : history["commits"])
        {
            for (const auto& write : commit["writes"])
            {
                applied[write["key"].get<std::string>()].push_back(
                    commit["sequence"].get<version>());
            }
        }
        std::size_t committed = 0;
        for (const auto& [key, outcomes] : seen.outcomes)
        {
            if (outcomes.back().committed())
            {
                ++committed;
                CPPUNIT_ASSERT(applied[key] ==
                               std::vector<version>{outcomes.back().version});
            }
            else
            {
                CPPUNIT_ASSERT(applied.count(key) == 0);
            }
        }
        CPPUNIT_ASSERT(committed > submitted / 4);
        CPPUNIT_ASSERT(committed < submitted);
    }

    // Guards against a daemon that keeps working after a successor fenced it.
    void session_fenced_refuses_work_and_calls_hook()
    {
        test_platform platform;
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        seen.wait_until([&] { return seen.renewals > 0; });
        auto row = platform.send("POST", "/v1/table/read",
                                 {{"keys", {"session/d1"}}})["rows"][0];
        row["value"]["fenced"] = true;
        const auto fence = platform.send(
            "POST", "/v1/table/commit",
            {{"conditions",
              {{{"key", "session/d1"}, {"version", row["version"]}}}},
             {"writes", {{{"key", "session/d1"}, {"value", row["value"]}}}}});
        CPPUNIT_ASSERT(fence["committed"].get<bool>());
        CPPUNIT_ASSERT(
            table.submit(mutation().put("a", 1), seen.outcome_of("a")).ok());
        seen.wait_until([&] { return seen.outcomes.count("a") == 1; });
        CPPUNIT_ASSERT(seen.outcomes["a"][0].result ==
                       commit_outcome::result::failed);
        CPPUNIT_ASSERT(seen.outcomes["a"][0].reason ==
                       base::error_kind::fenced);
        CPPUNIT_ASSERT_EQUAL(1, seen.fencings);
        CPPUNIT_ASSERT(table.fenced());
        CPPUNIT_ASSERT(base::kind_of(table.submit(mutation().put("b", 1),
                                                  seen.outcome_of("b"))) ==
                       base::error_kind::fenced);
        CPPUNIT_ASSERT(read(table, {"a"}, {})->rows.empty());
    }

    // Guards against a restarted daemon that cannot register, and against the
    // previous process still committing.
    void session_of_previous_incarnation_is_replaced()
    {
        test_platform platform;
        outcome_recorder previous;
        outcome_recorder seen;
        table_options options = options_for(platform);
        options.renewal_interval = milliseconds(100);
        table_client first(options, clock, base::seeded_random(1),
                           previous.hooks());
        previous.wait_until([&] { return previous.renewals > 0; });
        options.session.incarnation = "i2";
        table_client second(options, clock, base::seeded_random(2),
                            seen.hooks());
        seen.wait_until([&] { return seen.renewals > 0; });
        previous.wait_until([&] { return previous.fencings == 1; });
        CPPUNIT_ASSERT(!second.fenced());
    }

    // Guards against a lease that is not renewed while there is no work.
    void session_idle_is_renewed()
    {
        test_platform platform;
        outcome_recorder seen;
        table_options options = options_for(platform);
        options.renewal_interval = milliseconds(50);
        table_client table(options, clock, base::seeded_random(1),
                           seen.hooks());
        seen.wait_until([&] { return seen.renewals >= 4; });
    }

    // Guards against one daemon that uses up the platform's rate limit.
    void budget_spent_refuses_reads_and_writes()
    {
        test_platform platform;
        outcome_recorder seen;
        table_options options = options_for(platform);
        options.writes_per_second = 10;
        options.reads_per_second = 5;
        table_client table(options, clock, base::seeded_random(1),
                           seen.hooks());
        int accepted = 0;
        absl::Status last;
        for (int i = 0; i < 50 && last.ok(); ++i)
        {
            last = table.submit(mutation().put(std::to_string(i), i),
                                seen.outcome_of(std::to_string(i)));
            accepted += last.ok() ? 1 : 0;
        }
        CPPUNIT_ASSERT(base::kind_of(last) ==
                       base::error_kind::store_budget_spent);
        CPPUNIT_ASSERT(accepted <= 12);
        last = absl::OkStatus();
        for (int i = 0; i < 50 && last.ok(); ++i)
        {
            last = table.read({"a"}, {}, [](const auto&) {});
        }
        CPPUNIT_ASSERT(base::kind_of(last) ==
                       base::error_kind::store_budget_spent);
    }

    // Guards against a malformed list that is taken for an empty one.
    void vm_list_is_parsed_and_malformed_is_refused()
    {
        test_platform platform;
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        const auto fetch = [&table]
        {
            std::promise<absl::StatusOr<vm_list>> answer;
            CPPUNIT_ASSERT(
                table
                    .fetch_vm_list([&answer](absl::StatusOr<vm_list> result)
                                   { answer.set_value(std::move(result)); })
                    .ok());
            return answer.get_future().get();
        };
        nlohmann::json worker = {
            {"name", "w1"},     {"role", "worker"},   {"zone", "a1"},
            {"region", "a"},    {"rack", "r1"},       {"address", "10.0.0.1:1"},
            {"state", "live"},  {"cpu_milli", 32000}, {"memory_mb", 131072},
            {"accelerators", 8}};
        nlohmann::json runner = {{"name", "r1"},
                                 {"role", "runner"},
                                 {"zone", "a1"},
                                 {"region", "a"},
                                 {"address", "10.0.0.2:1"},
                                 {"state", "leaving"},
                                 {"service", "s"},
                                 {"slots", 8}};
        platform.send("PUT", "/control/vms", {{"vms", {worker, runner}}});
        std::this_thread::sleep_for(milliseconds(20));
        const auto list = fetch();
        CPPUNIT_ASSERT(list.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list->vms.size());
        CPPUNIT_ASSERT(list->vms[0].leaving);
        CPPUNIT_ASSERT_EQUAL(8U, list->vms[0].slots);
        CPPUNIT_ASSERT(list->vms[1].capacity ==
                       (base::resources{32000, 131072, 8}));
        worker["state"] = "gone";
        platform.send("PUT", "/control/vms", {{"vms", {worker}}});
        std::this_thread::sleep_for(milliseconds(20));
        CPPUNIT_ASSERT(base::kind_of(fetch().status()) ==
                       base::error_kind::peer_protocol);
        platform.set_faults({{"refuse", true}});
        CPPUNIT_ASSERT(base::kind_of(fetch().status()) ==
                       base::error_kind::store_unavailable);
    }

    // Guards against a planned stop that drops accepted mutations.
    void stop_finishes_queued_mutations()
    {
        test_platform platform;
        platform.set_faults({{"slow_ms", 30}});
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        for (int i = 0; i < 250; ++i)
        {
            CPPUNIT_ASSERT(table
                               .submit(mutation().put(std::to_string(i), i),
                                       seen.outcome_of(std::to_string(i)))
                               .ok());
        }
        table.stop(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{250}, seen.outcomes.size());
        for (const auto& [key, outcomes] : seen.outcomes)
        {
            CPPUNIT_ASSERT(outcomes.back().committed());
        }
        CPPUNIT_ASSERT(base::kind_of(table.submit(mutation().put("x", 1),
                                                  seen.outcome_of("x"))) ==
                       base::error_kind::draining);
        CPPUNIT_ASSERT(
            base::kind_of(table.read({"x"}, {}, [](const auto&) {})) ==
            base::error_kind::draining);
    }

    // Guards against a stop that hangs while the store is down.
    void stop_in_outage_ends_and_reports_all()
    {
        test_platform platform;
        outcome_recorder seen;
        table_client table(options_for(platform), clock, base::seeded_random(1),
                           seen.hooks());
        seen.wait_until([&] { return seen.renewals > 0; });
        platform.set_faults({{"down", true}});
        for (int i = 0; i < 10; ++i)
        {
            CPPUNIT_ASSERT(table
                               .submit(mutation().put(std::to_string(i), i),
                                       seen.outcome_of(std::to_string(i)))
                               .ok());
        }
        const auto begin = std::chrono::steady_clock::now();
        table.stop(milliseconds(200));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, seen.outcomes.size());
        for (const auto& [key, outcomes] : seen.outcomes)
        {
            CPPUNIT_ASSERT(!outcomes.back().committed());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_client_test);

} // namespace coltsfootrack::store
