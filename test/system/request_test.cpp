// Answers to requests under faults of runners and the store. The marks in the
// histories of the runners show which requests ran.

#include "fleet_driver.hpp"

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fmt/core.h>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;
using std::chrono::seconds;

cluster_options request_options()
{
    cluster_options options;
    options.zones = {{"a1", "north"}, {"a2", "north"}};
    options.workers_per_zone = 1;
    options.accelerator_workers_per_zone = 0;
    options.runners_per_zone = 2;
    return options;
}

std::string set_up(fleet_driver& driver, bool idempotent)
{
    sample_ticket ticket(1);
    ticket.team("audio", 1, {64000, 262144, 0});
    std::string key = ticket.key("audio-1", "audio");
    ticket.service("stream", "audio", idempotent, 3000);
    driver.accept_ticket(0, ticket);
    driver.wait_sequence(1);
    CPPUNIT_ASSERT(cluster::wait_for(
        [&]
        {
            for (std::size_t i = 0; i < 2; ++i)
            {
                const auto answer =
                    driver.post(i, "/v1/services/stream/requests", key,
                                {{"work_ms", 1}, {"mark", "warm-up"}},
                                fmt::format("warm-up-{}", i));
                if (answer.status != 200)
                {
                    return false;
                }
            }
            return true;
        },
        seconds(20)));
    return key;
}

// Calls the function for each number below count, from several threads.
void in_parallel(int count, int threads, const std::function<void(int)>& work)
{
    std::atomic<int> next{0};
    std::vector<std::thread> pool;
    pool.reserve(static_cast<std::size_t>(threads));
    for (int i = 0; i < threads; ++i)
    {
        pool.emplace_back(
            [&]
            {
                for (int number = next++; number < count; number = next++)
                {
                    work(number);
                }
            });
    }
    for (std::thread& thread : pool)
    {
        thread.join();
    }
}

// Counts the outcomes of requests, for failure messages.
class outcome_counts
{
public:
    void add(const http::response& answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_[fmt::format("{} {}", answer.status, error_of(answer))];
    }

    std::string text() const
    {
        return json(counts_).dump();
    }

private:
    std::mutex mutex_;
    std::map<std::string, int> counts_;
};

std::map<std::string, int> runs_by_mark(fleet_driver& driver)
{
    std::map<std::string, int> runs;
    for (const json& run : driver.runner_history())
    {
        ++runs[run.at("mark").get<std::string>()];
    }
    return runs;
}

} // namespace

class request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_test);
    CPPUNIT_TEST(faulty_answers_are_complete_and_own_or_errors);
    CPPUNIT_TEST(did_not_run_is_true_under_resets_and_refusals);
    CPPUNIT_TEST(non_idempotent_key_runs_at_most_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers of other requests, truncated answers and
    // duplicated answers that are passed on as success.
    void faulty_answers_are_complete_and_own_or_errors()
    {
        fleet_driver driver("whole-answers", request_options());
        const std::string key = set_up(driver, true);
        driver.vm_faults("r-a1-0", {{"delay_ms", 40}});
        std::mutex mutex;
        int complete = 0;
        outcome_counts counts;
        std::string violation;
        in_parallel(
            1000, 16,
            [&](int number)
            {
                // Few faults at a time, because routing skips a runner for a
                // while after many failures in a row.
                if (number % 100 == 0)
                {
                    driver.vm_faults("runner",
                                     {{"truncate", 3}, {"duplicate", 15}});
                }
                const json mark = fmt::format("mark-{}", number);
                const auto answer =
                    driver.post(static_cast<std::size_t>(number % 2),
                                "/v1/services/stream/requests", key,
                                {{"work_ms", number % 7}, {"mark", mark}});
                counts.add(answer);
                const std::lock_guard<std::mutex> lock(mutex);
                if (answer.status != 200)
                {
                    if (error_of(answer).empty())
                    {
                        violation = fmt::format("{}: status {}, '{}'", number,
                                                answer.status, answer.body);
                    }
                    return;
                }
                ++complete;
                if (answer.body != json({{"mark", mark}}).dump())
                {
                    violation = fmt::format("{}: '{}'", number, answer.body);
                }
            });
        CPPUNIT_ASSERT_EQUAL(std::string(), violation);
        CPPUNIT_ASSERT_MESSAGE(counts.text(), complete > 200);
    }

    // Guards against did_not_run in answers to requests that may have run.
    void did_not_run_is_true_under_resets_and_refusals()
    {
        fleet_driver driver("did-not-run", request_options());
        const std::string key = set_up(driver, true);
        std::mutex mutex;
        std::map<std::string, std::string> refused;
        std::atomic<int> round{0};
        for (const json& faults :
             {json({{"reset_before", 5}, {"reset_after", 5}}),
              json({{"reset_after", 10}}),
              json({{"reset_after", 10}, {"leaving", true}})})
        {
            driver.vm_faults("runner", faults);
            // One runner keeps serving. In the last round it is full for so
            // long that requests are refused, some after an attempt that ran.
            driver.vm_faults("r-a1-0", {{"leaving", false}});
            const int current = ++round;
            in_parallel(
                current == 3 ? 140 : 300, 48,
                [&](int number)
                {
                    const std::string mark =
                        fmt::format("mark-{}-{}", current, number);
                    const auto answer = driver.post(
                        static_cast<std::size_t>(number % 2),
                        "/v1/services/stream/requests", key,
                        {{"work_ms", current == 3 ? 900 : 20}, {"mark", mark}});
                    if (says_did_not_run(answer))
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        refused[mark] = answer.body;
                    }
                });
        }
        const auto runs = runs_by_mark(driver);
        CPPUNIT_ASSERT(!refused.empty());
        for (const auto& [mark, answer] : refused)
        {
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ran: {}", mark, answer),
                                   runs.count(mark) == 0);
        }
    }

    // Guards against a second run of a non-idempotent request after a lost
    // answer, through another daemon, or by a daemon that was paused.
    void non_idempotent_key_runs_at_most_once()
    {
        fleet_driver driver("at-most-once", request_options());
        const std::string key = set_up(driver, false);
        driver.vm_faults("runner", {{"reset_after", 4}});
        driver.store_faults({{"lose_every", 5}});
        std::atomic<int> complete{0};
        outcome_counts counts;
        std::string violation;
        std::mutex mutex;
        const auto send = [&](std::size_t daemon, int number)
        {
            const std::string mark = fmt::format("mark-{}", number);
            http::response answer;
            // Callers may safely retry a request that did not run.
            cluster::wait_for(
                [&]
                {
                    answer = driver.post(daemon, "/v1/services/stream/requests",
                                         key, {{"work_ms", 5}, {"mark", mark}},
                                         fmt::format("k-{}", number));
                    counts.add(answer);
                    return !says_did_not_run(answer);
                },
                seconds(10));
            if (answer.status != 200)
            {
                return;
            }
            ++complete;
            if (json::parse(answer.body, nullptr, false).value("mark", "") !=
                mark)
            {
                const std::lock_guard<std::mutex> lock(mutex);
                violation = mark + ": " + answer.body;
            }
        };
        std::thread pauses(
            [&]
            {
                const auto& process = *driver.fleet().daemons()[1].process;
                process.send_signal(SIGSTOP);
                std::this_thread::sleep_for(seconds(8));
                process.send_signal(SIGCONT);
            });
        in_parallel(80, 8,
                    [&](int number)
                    {
                        const int pair = number / 2;
                        send(static_cast<std::size_t>(number % 2), pair);
                    });
        pauses.join();
        driver.store_faults({{"lose_every", 0}});
        for (std::size_t daemon : {1, 0})
        {
            in_parallel(40, 6, [&](int number) { send(daemon, number); });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), violation);
        CPPUNIT_ASSERT_MESSAGE(counts.text(), complete > 20);
        for (const auto& [mark, runs] : runs_by_mark(driver))
        {
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ran {} times", mark, runs),
                                   runs == 1 || mark == "warm-up");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_test);

} // namespace coltsfootrack::local_cluster
