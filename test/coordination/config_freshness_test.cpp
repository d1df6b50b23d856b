// Tests of config_freshness and acceptor_state by sequences of events: no proof
// may cover a time at which a newer ticket may have been accepted.

#include <coltsfootrack/coordination/acceptor_state.hpp>
#include <coltsfootrack/coordination/config_freshness.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::coordination
{

class config_freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_freshness_test);
    CPPUNIT_TEST(acceptors_unanimous_prove_from_query);
    CPPUNIT_TEST(peer_proof_is_aged_and_waits_for_its_sequence);
    CPPUNIT_TEST(table_that_lost_a_ticket_proves_nothing);
    CPPUNIT_TEST(acceptor_restarted_is_ready_after_session_and_read);
    CPPUNIT_TEST(acceptor_attempt_is_in_doubt_until_known);
    CPPUNIT_TEST(non_member_replaces_gone_members_under_session_conditions);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a proof although one of the acceptors did not answer, is
    // in doubt or not ready, or knows another membership.
    void acceptors_unanimous_prove_from_query()
    {
        const acceptor_answer good{true, 3, 7, false};
        CPPUNIT_ASSERT(current_with({good, good}, 17800));
        CPPUNIT_ASSERT(!current_with({good, good}, 17950));
        CPPUNIT_ASSERT(!current_with({good}, 12000));
        CPPUNIT_ASSERT(!current_with({good, {false, 3, 7, false}}, 12000));
        CPPUNIT_ASSERT(!current_with({good, {true, 3, 8, false}}, 12000));
        CPPUNIT_ASSERT(!current_with({good, {true, 3, 7, true}}, 12000));
        CPPUNIT_ASSERT(!current_with({good, {true, 4, 7, false}}, 12000));
    }

    // Guards against an old proof that stays valid by being passed from peer to
    // peer, and against a proof of a configuration that is not yet in force.
    void peer_proof_is_aged_and_waits_for_its_sequence()
    {
        config_freshness state;
        state.applied(3, at(0));
        const std::uint64_t round = state.begin_round(at(10000));
        state.answered({d("p"), round, 4, std::chrono::seconds(6), {}});
        CPPUNIT_ASSERT(!state.is_current(at(10100)));
        // The age must not be passed on with the older sequence.
        CPPUNIT_ASSERT(!state.age(at(10100)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), state.known_sequence());
        state.applied(4, at(10200));
        CPPUNIT_ASSERT(state.is_current(at(11700)));
        CPPUNIT_ASSERT(!state.is_current(at(11800)));
        state.applied(2, at(10300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), state.sequence());
    }

    // Guards against a proof from a table that was rolled back to an older
    // configuration.
    void table_that_lost_a_ticket_proves_nothing()
    {
        config_freshness state;
        state.store_read(at(1000), 5, {7, {d("a")}});
        state.applied(5, at(1100));
        state.store_read(at(9000), 4, {8, {d("b")}});
        CPPUNIT_ASSERT(!state.is_current(at(9100)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), state.membership().version);
    }

    // Guards against a ready answer by a process whose predecessor has a ticket
    // in flight.
    void acceptor_restarted_is_ready_after_session_and_read()
    {
        acceptor_state state(d("a"));
        const membership_row members{7, {d("a"), d("b")}};
        state.store_read(at(1000), 3, members, {});
        CPPUNIT_ASSERT(!state.answer().ready);
        state.session_confirmed(at(2000));
        CPPUNIT_ASSERT(!state.answer().ready && !state.may_accept(at(2000)));
        state.store_read(at(1500), 3, members, {});
        CPPUNIT_ASSERT(!state.answer().ready);
        state.store_read(at(2500), 4, members, {});
        CPPUNIT_ASSERT(state.answer().ready && state.may_accept(at(2600)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), state.answer().sequence);
    }

    // Guards against a proof while a ticket or a membership change may have
    // taken effect.
    void acceptor_attempt_is_in_doubt_until_known()
    {
        acceptor_state state = ready_acceptor("a", {7, {d("a"), d("b")}});
        // In a store outage the ticket would stay in doubt.
        CPPUNIT_ASSERT(!state.ticket_started(12, at(6000)));
        CPPUNIT_ASSERT(!state.answer().in_doubt);
        CPPUNIT_ASSERT(state.ticket_started(12, at(3000)));
        CPPUNIT_ASSERT(state.answer().in_doubt);
        state.ticket_finished(12, 9);
        CPPUNIT_ASSERT(!state.answer().in_doubt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), state.answer().sequence);
        // b does not respond, and c and e take its place; two members of zone x
        // only when no other zone is left.
        const base::zone_id x("x");
        const base::zone_id y("y");
        state.list_received(at(4000),
                            {{d("a"), x, false},
                             {d("b"), y, false},
                             {d("c"), x, false},
                             {d("e"), y, false},
                             {d("f"), base::zone_id("w"), true}},
                            at(4000));
        state.set_responsive({d("c"), d("e"), d("f")});
        const auto change = state.plan(at(5000));
        CPPUNIT_ASSERT(change && change->session_versions.empty());
        CPPUNIT_ASSERT(change->members ==
                       std::vector<base::daemon_id>({d("a"), d("c"), d("e")}));
        CPPUNIT_ASSERT(state.answer().in_doubt);
        state.proposal_applied(change->id, 20);
        CPPUNIT_ASSERT(!state.answer().in_doubt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20),
                             state.answer().membership_version);
    }

    // Guards against a delayed membership change by a non-member that takes
    // effect after a member has come back.
    void non_member_replaces_gone_members_under_session_conditions()
    {
        acceptor_state state = ready_acceptor("c", {7, {d("a")}});
        for (int ms = 4000; ms < 34000; ms += 5000)
        {
            state.list_received(at(ms), {{d("c"), base::zone_id("x"), false}},
                                at(ms));
            state.store_read(at(ms), 3, {7, {d("a")}}, {{d("a"), 40}});
            CPPUNIT_ASSERT(!state.plan(at(ms)));
        }
        state.list_received(at(34000), {{d("c"), base::zone_id("x"), false}},
                            at(34000));
        state.store_read(at(34000), 3, {7, {d("a")}}, {{d("a"), 40}});
        const auto change = state.plan(at(34000));
        CPPUNIT_ASSERT(change);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(40),
                             change->session_versions.at(d("a")));
    }

private:
    static base::time_point at(int ms)
    {
        return base::time_point(std::chrono::milliseconds(ms));
    }

    static base::daemon_id d(const std::string& name)
    {
        return base::daemon_id(name);
    }

    static acceptor_state ready_acceptor(const std::string& name,
                                         const membership_row& members)
    {
        acceptor_state state(d(name));
        state.session_confirmed(at(1000));
        state.store_read(at(2000), 3, members, {{d("a"), 40}});
        return state;
    }

    // Whether answers of the members a and b, in this order, to a query sent
    // at 10 s prove the configuration current at the given time.
    static bool current_with(const std::vector<acceptor_answer>& answers,
                             int ms)
    {
        config_freshness state;
        state.store_read(at(0), 3, {7, {d("a"), d("b")}});
        state.applied(3, at(0));
        const std::uint64_t round = state.begin_round(at(10000));
        const char* name = "a";
        for (const acceptor_answer& answer : answers)
        {
            state.answered({d(name), round, 3, std::nullopt, answer});
            name = "b";
        }
        return state.is_current(at(ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_freshness_test);

} // namespace coltsfootrack::coordination
