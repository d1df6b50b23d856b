// Tests of request_flow: every short sequence of events against a reference
// that decides from the whole sequence, and the guarantees to the caller.

#include <coltsfootrack/routing/request_flow.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::routing
{
namespace
{

using base::error_kind;

const base::time_point start_time = base::time_point(std::chrono::hours(1));
const base::time_point deadline = start_time + std::chrono::hours(1);

// One letter for each event:
//   y n      claim succeeded, failed
//   f u o    no runner: full, unreachable, none known
//   0 F L    nothing sent, refused as full, refused as leaving
//   t c k    timed out, truncated, complete
//   w d      wait ended, deadline passed
using event_sequence = std::string;

struct setting
{
    bool idempotent = false;
    bool needs_claim = false;
    std::uint32_t tokens = 0;
};

// The step in short: "claim", "send", "wait", or the name of the final error
// and the execution.
std::string text_of(const request_step& step)
{
    if (const auto* last = std::get_if<final_step>(&step))
    {
        const std::string ran = last->ran == base::execution::did_not_run
                                    ? "not"
                                : last->ran == base::execution::ran ? "ran"
                                                                    : "unknown";
        return (last->error ? std::string(base::answer_of(*last->error).name)
                            : "answer") +
               "/" + ran;
    }
    return std::holds_alternative<claim_step>(step)  ? "claim"
           : std::holds_alternative<send_step>(step) ? "send"
                                                     : "wait";
}

request_step apply(request_flow& flow, char event)
{
    const base::time_point now = start_time + std::chrono::seconds(1);
    switch (event)
    {
    case 'y':
        return flow.claim_succeeded(now);
    case 'n':
        return flow.claim_failed(error_kind::store_unavailable, now);
    case 'f':
        return flow.no_runner(error_kind::upstream_full, now);
    case 'u':
        return flow.no_runner(error_kind::upstream_unreachable, now);
    case 'o':
        return flow.no_runner(error_kind::no_upstream, now);
    case '0':
        return flow.attempt_ended(attempt_outcome::nothing_sent, now);
    case 'F':
        return flow.attempt_ended(attempt_outcome::refused_full, now);
    case 'L':
        return flow.attempt_ended(attempt_outcome::refused_leaving, now);
    case 't':
        return flow.attempt_ended(attempt_outcome::timed_out, now);
    case 'c':
        return flow.attempt_ended(attempt_outcome::truncated, now);
    case 'k':
        return flow.attempt_ended(attempt_outcome::complete, now);
    case 'w':
        return flow.wait_ended(now);
    default:
        return flow.deadline_passed(deadline);
    }
}

std::string unproved_answer(const setting& with, char event)
{
    if (!with.idempotent)
    {
        return "outcome_unknown/unknown";
    }
    return event == 'c' ? "upstream_truncated/unknown"
                        : "upstream_timeout/unknown";
}

// The reference: the step after these events, from the rules in the header.
std::string expected(const setting& with, const event_sequence& events)
{
    if (events.empty())
    {
        return with.needs_claim ? "claim" : "send";
    }
    const char last = events.back();
    const auto count = [&](const std::string& kinds)
    {
        return static_cast<std::uint32_t>(
            std::count_if(events.begin(), events.end(),
                          [&](char event)
                          { return kinds.find(event) != std::string::npos; }));
    };
    const auto last_of = [&](const std::string& kinds)
    {
        const auto at = events.find_last_of(kinds);
        return at == std::string::npos ? '-' : events[at];
    };
    // The result when the request ends without a complete answer.
    const auto failed = [&](const std::string& otherwise)
    {
        const char unproved = last_of("tc");
        return unproved == '-' ? otherwise : unproved_answer(with, unproved);
    };
    const auto refusal = [&]() -> std::string
    {
        switch (last_of("fuo0FL"))
        {
        case 'f':
        case 'F':
            return "upstream_full/not";
        case 'u':
        case '0':
            return "upstream_unreachable/not";
        case 'L':
            return "upstream_leaving/not";
        default:
            return "deadline_passed/not";
        }
    };
    if (last == 'y')
    {
        return "send";
    }
    if (last == 'n')
    {
        return "store_unavailable/not";
    }
    if (last == 'o')
    {
        return failed("no_upstream/not");
    }
    if (last == 'w')
    {
        return "send";
    }
    if (last == 'f' || last == 'u')
    {
        return "wait";
    }
    if (last == 'k')
    {
        return "answer/ran";
    }
    if (last == 'd')
    {
        const std::string before =
            expected(with, events.substr(0, events.size() - 1));
        return before == "send" ? unproved_answer(with, 't')
                                : failed(refusal());
    }
    if (last == 'F')
    {
        const auto wait = events.find_last_of('w');
        const auto since =
            wait == std::string::npos ? events : events.substr(wait);
        return std::count(since.begin(), since.end(), 'F') == 3 ? "wait"
                                                                : "send";
    }
    if ((last == 't' || last == 'c') && !with.idempotent)
    {
        return "outcome_unknown/unknown";
    }
    const std::uint32_t failures = count("0Ltc");
    if (failures >= 3)
    {
        return failed(refusal());
    }
    if (failures > with.tokens)
    {
        return failed("retry_budget_spent/not");
    }
    return last == 'L' ? "send" : "wait";
}

std::string possible_events(const std::string& step)
{
    return step == "claim"  ? "ynd"
           : step == "send" ? "fuo0FLtckd"
           : step == "wait" ? "wd"
                            : "";
}

} // namespace

class request_flow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_flow_test);
    CPPUNIT_TEST(flow_all_short_sequences_match_reference);
    CPPUNIT_TEST(flow_late_events_end_at_deadline);
    CPPUNIT_TEST(flow_invalid_event_ends_unknown);
    CPPUNIT_TEST(flow_wait_beyond_deadline_ends_at_once);
    CPPUNIT_TEST_SUITE_END();

    std::uint64_t checked_ = 0;

    static request_step replay(request_flow& flow, const event_sequence& events)
    {
        request_step step = flow.start(start_time);
        for (const char event : events)
        {
            step = apply(flow, event);
        }
        return step;
    }

    static retry_budget budget_with(std::uint32_t tokens)
    {
        return retry_budget({0, 0, tokens}, start_time);
    }

    static request_flow flow_with(const setting& with, retry_budget& budget)
    {
        return {{with.idempotent, with.needs_claim, deadline, 3},
                backoff(),
                budget,
                base::seeded_random(1)};
    }

    // Checks the guarantees to the caller directly on the list of events.
    static void check_guarantees(const setting& with,
                                 const event_sequence& events,
                                 const std::string& step,
                                 const request_flow& flow)
    {
        const bool may_have_run =
            events.find_first_of("tck") != std::string::npos;
        if (step == "send")
        {
            CPPUNIT_ASSERT_MESSAGE(events, with.idempotent || !may_have_run);
            CPPUNIT_ASSERT_MESSAGE(events,
                                   !with.needs_claim || events[0] == 'y');
        }
        if (step.size() > 4 && step.substr(step.size() - 4) == "/not")
        {
            CPPUNIT_ASSERT_MESSAGE(events, !may_have_run);
            CPPUNIT_ASSERT_MESSAGE(events, flow.proved_not_run());
        }
        if (may_have_run)
        {
            CPPUNIT_ASSERT_MESSAGE(events, !flow.proved_not_run());
        }
    }

    void explore(const setting& with, const event_sequence& events, int depth)
    {
        retry_budget budget = budget_with(with.tokens);
        request_flow flow = flow_with(with, budget);
        const request_step step = replay(flow, events);
        const std::string text = text_of(step);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(events, expected(with, events), text);
        check_guarantees(with, events, text, flow);
        ++checked_;
        if (std::holds_alternative<final_step>(step))
        {
            // Late events change nothing.
            for (const char event : std::string("ynfuo0FLtckwd"))
            {
                CPPUNIT_ASSERT_EQUAL(text, text_of(apply(flow, event)));
            }
            return;
        }
        if (depth == 0)
        {
            return;
        }
        for (const char event : possible_events(text))
        {
            explore(with, events + event, depth - 1);
        }
    }

public:
    // Guards against a second run of a request that is not idempotent, a false
    // "did not run", and retries beyond the budget.
    void flow_all_short_sequences_match_reference()
    {
        for (const bool idempotent : {false, true})
        {
            for (const bool needs_claim : {false, true})
            {
                for (const std::uint32_t tokens : {0U, 1U, 9U})
                {
                    explore({idempotent, needs_claim, tokens}, "", 7);
                }
            }
        }
        CPPUNIT_ASSERT(checked_ > 10000);
    }

    // Guards against an attempt that starts after the deadline.
    void flow_late_events_end_at_deadline()
    {
        retry_budget budget = budget_with(9);
        const auto late = deadline + std::chrono::seconds(1);
        for (const auto outcome :
             {attempt_outcome::nothing_sent, attempt_outcome::refused_full,
              attempt_outcome::refused_leaving, attempt_outcome::timed_out,
              attempt_outcome::truncated, attempt_outcome::complete})
        {
            request_flow flow = flow_with({true, false, 9}, budget);
            flow.start(start_time);
            const auto step = flow.attempt_ended(outcome, late);
            CPPUNIT_ASSERT(std::holds_alternative<final_step>(step));
        }
        for (const std::string events : {"", "y", "yf"})
        {
            request_flow flow = flow_with({false, true, 9}, budget);
            if (events.empty())
            {
                CPPUNIT_ASSERT_EQUAL(std::string("deadline_passed/not"),
                                     text_of(flow.start(late)));
                continue;
            }
            replay(flow, events.substr(0, events.size() - 1));
            const auto step =
                events.back() == 'y'
                    ? flow.claim_succeeded(late)
                    : flow.no_runner(error_kind::upstream_full, late);
            CPPUNIT_ASSERT(std::holds_alternative<final_step>(step));
            CPPUNIT_ASSERT(flow.proved_not_run());
        }
    }

    // Guards against "did not run" after an error of the flow's caller.
    void flow_invalid_event_ends_unknown()
    {
        for (const std::string events : {"y", "w", "yk", "fk", "ft", "0y"})
        {
            retry_budget budget = budget_with(9);
            request_flow flow = flow_with({true, false, 9}, budget);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(events,
                                         std::string("internal/unknown"),
                                         text_of(replay(flow, events)));
            CPPUNIT_ASSERT(!flow.proved_not_run());
        }
    }

    void flow_wait_beyond_deadline_ends_at_once()
    {
        retry_budget budget = budget_with(9);
        request_flow flow = flow_with({true, false, 9}, budget);
        const auto close = deadline - std::chrono::microseconds(1);
        flow.start(close);
        CPPUNIT_ASSERT_EQUAL(
            std::string("upstream_full/not"),
            text_of(flow.no_runner(error_kind::upstream_full, close)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_flow_test);

} // namespace coltsfootrack::routing
