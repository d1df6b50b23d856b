// Tests of idempotency_state: every decision against a table of expected
// results, every short interleaving of two daemons with one key under lost
// messages and crashes, expiry, and the conversion to and from JSON.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/routing/idempotency_state.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace coltsfootrack::routing
{
namespace
{

using std::chrono::system_clock;

const system_clock::time_point noon = system_clock::from_time_t(1700000000);

idempotency_claim claim_of(const std::string& name, const std::string& content)
{
    return {"token-" + name, base::daemon_id("d-" + name), 1, content};
}

idempotency_row row_of(idempotency_status status, const idempotency_claim& by)
{
    idempotency_row row;
    row.status = status;
    row.token = by.token;
    row.daemon = by.daemon;
    row.incarnation = by.incarnation;
    row.content = by.content;
    row.expires =
        std::chrono::seconds(1700000000) + idempotency_state::lifetime;
    return row;
}

// The decision in one word: "write", "held", "replay" or the error's name.
std::string text_of(const claim_decision& decision)
{
    if (const auto* refused = std::get_if<refuse_claim>(&decision))
    {
        return std::string(base::answer_of(refused->reason).name);
    }
    return std::holds_alternative<write_claim>(decision)  ? "write"
           : std::holds_alternative<claim_held>(decision) ? "held"
                                                          : "replay";
}

// A daemon with one request.
struct actor
{
    enum class phase
    {
        deciding,
        claiming,
        running,
        ending,
        ended
    };

    idempotency_claim request;
    phase at = phase::deciding;
    // The row to write and the row version that the write requires.
    idempotency_row write;
    int version = 0;
    // How the run ended: 'k' complete, 't' unknown, '0' proved not to have run.
    char outcome = '-';
    bool crashed = false;
};

// The state of the table, the runner and two daemons.
struct system_state
{
    std::optional<idempotency_row> row;
    int version = 0;
    int commits = 0;
    int runs = 0;
    int faults_left = 2;
    std::vector<actor> actors;
};

enum class commit_fault
{
    none,
    answer_lost,
    request_lost
};

} // namespace

class idempotency_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(idempotency_state_test);
    CPPUNIT_TEST(claim_every_state_matches_table);
    CPPUNIT_TEST(end_only_by_claim_holder);
    CPPUNIT_TEST(two_daemons_every_interleaving_runs_at_most_once);
    CPPUNIT_TEST(claim_after_expiry_counts_as_absent);
    CPPUNIT_TEST(complete_large_body_omitted);
    CPPUNIT_TEST(json_any_row_survives);
    CPPUNIT_TEST(json_damaged_row_gives_error_or_row);
    CPPUNIT_TEST(content_hash_differs_for_shifted_parts);
    CPPUNIT_TEST_SUITE_END();

    std::uint64_t explored_ = 0;

    static bool can_commit(const system_state& state, const actor& who)
    {
        return who.version == state.version;
    }

    static void commit(system_state& state, const actor& who)
    {
        state.row = who.write;
        state.version = ++state.commits;
    }

    // Reads the row again and proceeds according to the decision.
    static void decide(const system_state& state, actor& who)
    {
        const idempotency_state seen(state.row);
        const auto decision = seen.claim(who.request, noon);
        if (const auto* write = std::get_if<write_claim>(&decision))
        {
            who.write = write->row;
            who.version = state.version;
            who.at = actor::phase::claiming;
        }
        else if (std::holds_alternative<claim_held>(decision))
        {
            who.at = actor::phase::running;
        }
        else
        {
            if (const auto* replay = std::get_if<replay_outcome>(&decision))
            {
                // The recorded outcome belongs to the only run and to the same
                // content.
                CPPUNIT_ASSERT_EQUAL(1, state.runs);
                CPPUNIT_ASSERT_EQUAL(std::string("run 1"), replay->row.body);
                CPPUNIT_ASSERT(replay->row.content == who.request.content);
            }
            who.at = actor::phase::ended;
        }
    }

    static void prepare_end(const system_state& state, actor& who)
    {
        const idempotency_state seen(state.row);
        const std::string& token = who.request.token;
        const auto row =
            who.outcome == 'k'
                ? seen.complete(token, 200, "text/plain",
                                "run " + std::to_string(state.runs), noon)
            : who.outcome == 't' ? seen.mark_unknown(token, noon)
                                 : seen.release(token, noon);
        // Refused if an earlier write took effect or the claim was abandoned.
        who.at = row.ok() ? actor::phase::ending : actor::phase::ended;
        if (row.ok())
        {
            who.write = *row;
            who.version = state.version;
        }
    }

    static void after_commit(system_state& state, actor& who,
                             commit_fault fault)
    {
        const bool applied =
            fault != commit_fault::request_lost && can_commit(state, who);
        if (applied)
        {
            commit(state, who);
        }
        const bool known = fault == commit_fault::none && applied;
        if (who.at == actor::phase::claiming)
        {
            who.at = known ? actor::phase::running : actor::phase::deciding;
        }
        else if (known)
        {
            who.at = actor::phase::ended;
        }
        else
        {
            prepare_end(state, who);
        }
    }

    void explore_commit(const system_state& state, std::size_t index)
    {
        for (const auto fault : {commit_fault::none, commit_fault::answer_lost,
                                 commit_fault::request_lost})
        {
            if (fault != commit_fault::none && state.faults_left == 0)
            {
                continue;
            }
            system_state next = state;
            next.faults_left -= fault == commit_fault::none ? 0 : 1;
            after_commit(next, next.actors[index], fault);
            explore(next);
        }
    }

    void explore_actor(const system_state& state, std::size_t index)
    {
        system_state next = state;
        actor& who = next.actors[index];
        switch (who.at)
        {
        case actor::phase::deciding:
            decide(state, who);
            explore(next);
            return;
        case actor::phase::claiming:
        case actor::phase::ending:
            explore_commit(state, index);
            return;
        case actor::phase::running:
            for (const char outcome : {'k', 't', '0'})
            {
                next = state;
                next.runs += outcome == '0' ? 0 : 1;
                next.actors[index].outcome = outcome;
                prepare_end(next, next.actors[index]);
                explore(next);
            }
            return;
        case actor::phase::ended:
            return;
        }
    }

    void explore_crash(const system_state& state, std::size_t index)
    {
        if (state.faults_left == 0 || state.actors[index].crashed)
        {
            return;
        }
        // A peer sees the crashed daemon as fenced at once and abandons its
        // claim.
        system_state next = state;
        --next.faults_left;
        actor& who = next.actors[index];
        who.crashed = true;
        const idempotency_state seen(next.row);
        const auto row = seen.abandon(who.request.daemon, 1, noon);
        if (row.ok())
        {
            who.write = *row;
            commit(next, who);
        }
        explore(next);
    }

    void explore(const system_state& state)
    {
        ++explored_;
        CPPUNIT_ASSERT(state.runs <= 1);
        if (state.row && state.row->status == idempotency_status::released)
        {
            CPPUNIT_ASSERT_EQUAL(0, state.runs);
        }
        for (std::size_t i = 0; i < state.actors.size(); ++i)
        {
            const actor& who = state.actors[i];
            if (!who.crashed && who.at != actor::phase::ended)
            {
                explore_actor(state, i);
                explore_crash(state, i);
            }
        }
    }

public:
    void claim_every_state_matches_table()
    {
        const auto own = claim_of("a", "x");
        const auto other = claim_of("b", "x");
        const auto restarted = idempotency_claim{own.token, own.daemon, 2, "x"};
        const auto changed = claim_of("a", "y");
        struct line
        {
            idempotency_status status;
            const char* own;
            const char* other;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("write"),
                             text_of(idempotency_state({}).claim(own, noon)));
        for (const line& each :
             {line{idempotency_status::claimed, "held", "request_in_progress"},
              line{idempotency_status::done, "replay", "replay"},
              line{idempotency_status::released, "write", "write"},
              line{idempotency_status::unknown, "outcome_unknown",
                   "outcome_unknown"}})
        {
            const idempotency_state state(row_of(each.status, own));
            CPPUNIT_ASSERT_EQUAL(std::string(each.own),
                                 text_of(state.claim(own, noon)));
            CPPUNIT_ASSERT_EQUAL(std::string(each.other),
                                 text_of(state.claim(other, noon)));
            CPPUNIT_ASSERT_EQUAL(std::string(each.other),
                                 text_of(state.claim(restarted, noon)));
            CPPUNIT_ASSERT_EQUAL(std::string("invalid_request"),
                                 text_of(state.claim(changed, noon)));
        }
    }

    // Guards against an outcome that is written twice or without the claim.
    void end_only_by_claim_holder()
    {
        const auto own = claim_of("a", "x");
        for (const auto status :
             {idempotency_status::claimed, idempotency_status::done,
              idempotency_status::released, idempotency_status::unknown})
        {
            const idempotency_state state(row_of(status, own));
            for (const std::string& token : {own.token, std::string("other")})
            {
                const bool allowed =
                    status == idempotency_status::claimed && token == own.token;
                CPPUNIT_ASSERT_EQUAL(
                    allowed, state.complete(token, 200, "", "", noon).ok());
                CPPUNIT_ASSERT_EQUAL(allowed, state.release(token, noon).ok());
                CPPUNIT_ASSERT_EQUAL(allowed,
                                     state.mark_unknown(token, noon).ok());
            }
            CPPUNIT_ASSERT_EQUAL(status == idempotency_status::claimed,
                                 state.abandon(own.daemon, 1, noon).ok());
            CPPUNIT_ASSERT(!state.abandon(own.daemon, 2, noon).ok());
        }
        CPPUNIT_ASSERT(!idempotency_state({}).release("t", noon).ok());
    }

    void two_daemons_every_interleaving_runs_at_most_once()
    {
        for (const std::string content : {"x", "y"})
        {
            system_state state;
            state.actors.resize(2);
            state.actors[0].request = claim_of("a", "x");
            state.actors[1].request = claim_of("b", content);
            explore(state);
        }
        CPPUNIT_ASSERT(explored_ > 10000);
    }

    void claim_after_expiry_counts_as_absent()
    {
        const auto own = claim_of("a", "x");
        const idempotency_state state(row_of(idempotency_status::unknown, own));
        const auto end = noon + idempotency_state::lifetime;
        const auto before = end - std::chrono::seconds(1);
        CPPUNIT_ASSERT(!state.expired(before));
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"),
                             text_of(state.claim(own, before)));
        CPPUNIT_ASSERT(state.expired(end));
        CPPUNIT_ASSERT_EQUAL(std::string("write"),
                             text_of(state.claim(claim_of("b", "y"), end)));
    }

    void complete_large_body_omitted()
    {
        const auto own = claim_of("a", "x");
        const idempotency_state state(row_of(idempotency_status::claimed, own));
        const std::string largest(max_recorded_body, 'b');
        auto row = state.complete(own.token, 200, "", largest, noon);
        CPPUNIT_ASSERT(row.ok() && row->body == largest && !row->body_omitted);
        row = state.complete(own.token, 200, "", largest + "b", noon);
        CPPUNIT_ASSERT(row.ok() && row->body.empty() && row->body_omitted);
    }

    void json_any_row_survives()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                idempotency_row row =
                    row_of(*rc::gen::element(idempotency_status::claimed,
                                             idempotency_status::done,
                                             idempotency_status::released,
                                             idempotency_status::unknown),
                           claim_of("a", "x"));
                row.incarnation = *rc::gen::arbitrary<std::uint64_t>();
                if (row.status == idempotency_status::done)
                {
                    row.http_status = *rc::gen::arbitrary<std::uint32_t>();
                    row.content_type = *rc::gen::string<std::string>();
                    row.body = *rc::gen::string<std::string>();
                    row.body_omitted = *rc::gen::arbitrary<bool>();
                }
                const auto again = idempotency_row_from_json(to_json(row));
                RC_ASSERT(again.ok());
                RC_ASSERT(*again == row);
            }));
    }

    // Guards against a damaged row, or one of another version, that counts as
    // absent.
    void json_damaged_row_gives_error_or_row()
    {
        const std::string text =
            to_json(row_of(idempotency_status::done, claim_of("a", "x")));
        for (const char* bad : {"", "{}", "[]", "null",
                                "{\"state\":\"claimed\"}", "{\"state\":1}"})
        {
            CPPUNIT_ASSERT(!idempotency_row_from_json(bad).ok());
        }
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            CPPUNIT_ASSERT(!idempotency_row_from_json(text.substr(0, i)).ok());
        }
        CPPUNIT_ASSERT(rc::check(
            [&]
            {
                std::string bytes = text;
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    *rc::gen::arbitrary<char>();
                const auto row = idempotency_row_from_json(bytes);
                RC_ASSERT(row.ok() || base::kind_of(row.status()) ==
                                          base::error_kind::internal);
            }));
    }

    void content_hash_differs_for_shifted_parts()
    {
        const std::string hash = content_hash("s", "POST", "body");
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), hash.size());
        CPPUNIT_ASSERT(hash == content_hash("s", "POST", "body"));
        CPPUNIT_ASSERT(hash != content_hash("sP", "OST", "body"));
        CPPUNIT_ASSERT(hash != content_hash("s", "POST", "body2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idempotency_state_test);

} // namespace coltsfootrack::routing
