// Tests that retry_budget and backoff keep retries from overloading runners,
// and that attempt_table passes no answer to the wrong request.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/routing/attempt_table.hpp>
#include <coltsfootrack/routing/backoff.hpp>
#include <coltsfootrack/routing/retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace coltsfootrack::routing
{

class retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(budget_any_traffic_stays_within_bound);
    CPPUNIT_TEST(budget_quiet_service_keeps_minimum);
    CPPUNIT_TEST(backoff_stays_within_jitter_and_cap);
    CPPUNIT_TEST(table_any_answers_reach_only_their_request);
    CPPUNIT_TEST(table_full_refuses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against retries that multiply the load on failing runners.
    void budget_any_traffic_stays_within_bound()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                base::time_point now;
                retry_budget budget({100, 2, 5}, now);
                const auto start = now;
                double requests = 0;
                double retries = 0;
                const auto steps = *rc::gen::container<std::vector<int>>(
                    500, rc::gen::inRange(0, 4));
                for (const int step : steps)
                {
                    if (step == 0)
                    {
                        now += std::chrono::milliseconds(
                            *rc::gen::inRange(0, 300));
                    }
                    else if (step == 1)
                    {
                        budget.count_request(now);
                        ++requests;
                    }
                    else
                    {
                        retries += budget.take(now) ? 1 : 0;
                    }
                    const double seconds =
                        std::chrono::duration<double>(now - start).count();
                    RC_ASSERT(retries <=
                              0.1 * requests + 2 * seconds + 5 + 1e-6);
                }
            }));
    }

    void budget_quiet_service_keeps_minimum()
    {
        base::time_point now;
        retry_budget budget({100, 2, 5}, now);
        for (int i = 0; i < 5; ++i)
        {
            CPPUNIT_ASSERT(budget.take(now));
        }
        CPPUNIT_ASSERT(!budget.take(now));
        // Many short steps must not lose fractions of tokens.
        for (int i = 0; i < 10000; ++i)
        {
            now += std::chrono::microseconds(100);
            budget.count_request(now - std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT(budget.take(now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), budget.granted());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), budget.refused());
    }

    void backoff_stays_within_jitter_and_cap()
    {
        using std::chrono::milliseconds;
        const backoff pauses(milliseconds(5), milliseconds(500));
        const auto random = base::seeded_random(1);
        for (std::uint32_t n = 0; n < 200; ++n)
        {
            const auto full =
                n < 7 ? milliseconds(5) * (1 << n) : milliseconds(500);
            base::duration low = full;
            base::duration high{};
            for (int i = 0; i < 50; ++i)
            {
                const auto pause = pauses.next(n, random);
                CPPUNIT_ASSERT(pause >= full / 2 && pause <= full);
                low = std::min(low, pause);
                high = std::max(high, pause);
            }
            CPPUNIT_ASSERT(high > low);
        }
    }

    // Guards against an answer that reaches another request or counts as
    // complete although bytes are missing.
    void table_any_answers_reach_only_their_request()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                attempt_table table;
                std::map<std::string, std::uint64_t> open;
                for (std::uint64_t i = 0; i < 60; ++i)
                {
                    const auto name = [&]
                    {
                        return "a" + std::to_string(*rc::gen::inRange(0, 6));
                    };
                    const std::string id = name();
                    const auto found = open.find(id);
                    const int action = *rc::gen::inRange(0, 5);
                    if (action == 0)
                    {
                        RC_ASSERT(table.abandon(id) == (open.erase(id) == 1));
                        continue;
                    }
                    if (action <= 2)
                    {
                        const bool added = open.emplace(id, i).second;
                        RC_ASSERT(table.open(id, i).ok() == added);
                        continue;
                    }
                    attempt_answer answer;
                    answer.attempt_id =
                        *rc::gen::element(id, name(), std::string());
                    answer.received_length = *rc::gen::inRange(0, 3);
                    if (*rc::gen::inRange(0, 4) != 0)
                    {
                        answer.declared_length = *rc::gen::inRange(0, 3);
                    }
                    const bool complete =
                        answer.attempt_id == id && answer.declared_length &&
                        *answer.declared_length == answer.received_length;
                    const auto request = table.settle(id, answer);
                    if (found == open.end())
                    {
                        RC_ASSERT(base::kind_of(request.status()) ==
                                  base::error_kind::not_found);
                        continue;
                    }
                    const std::uint64_t owner = found->second;
                    open.erase(found);
                    RC_ASSERT(request.ok() == complete);
                    if (complete)
                    {
                        RC_ASSERT(*request == owner);
                    }
                    else
                    {
                        RC_ASSERT(base::kind_of(request.status()) ==
                                  base::error_kind::upstream_truncated);
                    }
                    RC_ASSERT(table.size() == open.size());
                }
            }));
    }

    void table_full_refuses()
    {
        attempt_table table(2);
        CPPUNIT_ASSERT(table.open("a", 1).ok());
        CPPUNIT_ASSERT(table.open("b", 2).ok());
        CPPUNIT_ASSERT(base::kind_of(table.open("c", 3)) ==
                       base::error_kind::overloaded);
        CPPUNIT_ASSERT(table.abandon("a"));
        CPPUNIT_ASSERT(table.open("c", 3).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

} // namespace coltsfootrack::routing
