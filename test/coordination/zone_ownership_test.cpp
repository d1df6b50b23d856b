// Tests of zone_ownership by sequences of events that the random simulation
// rarely reaches.

#include <coltsfootrack/coordination/zone_ownership.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::coordination
{

class zone_ownership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_ownership_test);
    CPPUNIT_TEST(candidate_delayed_read_waits_from_arrival);
    CPPUNIT_TEST(candidate_owner_restarted_takes_over_without_fence);
    CPPUNIT_TEST(restarted_daemon_promises_after_session_and_read);
    CPPUNIT_TEST(candidate_taking_over_refuses_promise);
    CPPUNIT_TEST(started_daemon_waits_before_takeover);
    CPPUNIT_TEST(restarted_sole_owner_takes_over);
    CPPUNIT_TEST(owner_releasing_stops_until_rejected);
    CPPUNIT_TEST(fenced_daemon_refuses_promise);
    CPPUNIT_TEST(candidate_old_epoch_refuses_promise);
    CPPUNIT_TEST(owner_changing_candidates_requires_both_sets);
    CPPUNIT_TEST(owner_superseded_by_request_stops);
    CPPUNIT_TEST(observer_interrupted_list_does_not_take_over);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a takeover while the owner's lease is valid: a read that
    // arrives late may show a commit that was sent just before.
    void candidate_delayed_read_waits_from_arrival()
    {
        see(20000, 25000, owned_by_a(), {"a", "a-1", 5});
        see(26000, 26500, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!takeover(at(28000)));
        see(31500, 31900, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!takeover(at(31900)));
        CPPUNIT_ASSERT(takeover(at(32100)));
    }

    // Guards against candidates that wait for ever because the owner's VM
    // runs a new process, and against fencing that process.
    void candidate_owner_restarted_takes_over_without_fence()
    {
        see(20000, 20000, owned_by_a(), {"a", "a-1", 5});
        std::optional<ownership_proposal> proposal;
        for (int ms = 21000; ms <= 29000; ms += 1000)
        {
            see(ms, ms, owned_by_a(), {"a", "a-2", 100U + ms});
            proposal = takeover(at(ms));
            CPPUNIT_ASSERT_EQUAL(ms >= 28000, proposal.has_value());
            if (proposal)
            {
                break;
            }
        }
        CPPUNIT_ASSERT(!proposal->fence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), proposal->row.epoch);
    }

    // Guards against a promise by a process whose predecessor has a takeover in
    // flight that the owner cannot see.
    void restarted_daemon_promises_after_session_and_read()
    {
        zone_.restart("d-2", at(9000));
        see(10000, 10000, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!zone_.answer(request(5), at(10100)).granted);
        zone_.session_confirmed(at(10200));
        CPPUNIT_ASSERT(!zone_.answer(request(5), at(10300)).granted);
        see(10100, 10400, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!zone_.answer(request(5), at(10500)).granted);
        see(10600, 10700, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(zone_.answer(request(5), at(10800)).granted);
    }

    // Guards against a promise while a takeover may still take effect.
    void candidate_taking_over_refuses_promise()
    {
        zone_.session_confirmed(at(1000));
        see(10000, 10000, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!takeover(at(10000)));
        see(16900, 16900, owned_by_a(), {"a", "a-1", 5});
        const auto proposal = takeover(at(17000));
        CPPUNIT_ASSERT(proposal && proposal->fence->version == 5);
        CPPUNIT_ASSERT(!zone_.answer(request(5), at(17100)).granted);
        zone_.proposal_rejected(proposal->id, at(17200));
        CPPUNIT_ASSERT(zone_.answer(request(5), at(17300)).granted);
        // The promise now stops a takeover for 7 s.
        see(24200, 24200, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!takeover(at(24200)));
        CPPUNIT_ASSERT(takeover(at(24300)));
    }

    // Guards against a takeover by a new process although the previous one may
    // have granted a promise.
    void started_daemon_waits_before_takeover()
    {
        observation_.sent = at(6000);
        zone_.observe(observation_, at(6000));
        CPPUNIT_ASSERT(!takeover(at(6900)));
        CPPUNIT_ASSERT(takeover(at(7000)));
    }

    // Guards against a zone without an owner after the only daemon in its row
    // was restarted: its VM stays on the list, and it is not a candidate.
    void restarted_sole_owner_takes_over()
    {
        const owner_row row{5, d("d"), "d-0", {}};
        see(6000, 6000, row, {"d", "d-1", 9});
        CPPUNIT_ASSERT(!takeover(at(6900)));
        const auto proposal = takeover(at(7000));
        CPPUNIT_ASSERT(proposal && proposal->row.epoch == 6);
    }

    // Guards against an owner that acts while its release may take effect.
    void owner_releasing_stops_until_rejected()
    {
        own(false);
        zone_.begin_shutdown();
        CPPUNIT_ASSERT(zone_.may_act(at(20000), lease_));
        const auto release = takeover(at(20000));
        CPPUNIT_ASSERT(release && release->row.is_released());
        CPPUNIT_ASSERT(!zone_.may_act(at(20000), lease_));
        CPPUNIT_ASSERT(zone_.role() == ownership_role::releasing);
        zone_.proposal_rejected(release->id, at(21000));
        CPPUNIT_ASSERT(zone_.may_act(at(21000), lease_));
    }

    // Guards against a promise to an old owner by a daemon that took over from
    // it and has been fenced since.
    void fenced_daemon_refuses_promise()
    {
        zone_.session_confirmed(at(1000));
        see(10000, 10000, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(zone_.answer(request(5), at(10050)).granted);
        zone_.session_fenced(at(10100));
        CPPUNIT_ASSERT(!zone_.answer(request(5), at(10200)).granted);
    }

    // Guards against an owner of an old epoch that goes on acting.
    void candidate_old_epoch_refuses_promise()
    {
        zone_.session_confirmed(at(1000));
        see(10000, 10000, owned_by_a(), {"a", "a-1", 5});
        CPPUNIT_ASSERT(!zone_.answer(request(4), at(10200)).granted);
        CPPUNIT_ASSERT(zone_.answer(request(5), at(10200)).granted);
    }

    // Guards against acting on the promises of too few candidates: an added one
    // is required from its proposal on, a removed one until the commit is known
    // to have taken effect.
    void owner_changing_candidates_requires_both_sets()
    {
        own(true);
        // The lease of the takeover has expired; the promise of b is valid.
        grant(15900);
        CPPUNIT_ASSERT(zone_.may_act(at(16000), lease_));
        observation_.sessions[d("c")] = session("c", "c-1", 11);
        zone_.list_received(at(16000), {{d("c"), zone_id_, false}}, at(16000));
        zone_.observe(observation_, at(16000));
        const auto adding = commit(zone_.step(at(16000), lease_));
        CPPUNIT_ASSERT(adding && adding->row.candidates.size() == 2);
        CPPUNIT_ASSERT(!zone_.may_act(at(16100), lease_));
        zone_.proposal_rejected(adding->id, at(16200));
        CPPUNIT_ASSERT(zone_.may_act(at(16300), lease_));
        // b is leaving: it is removed, but required until that is known.
        observation_.sessions.erase(d("c"));
        zone_.list_received(at(22000), {{d("b"), zone_id_, true}}, at(22000));
        see(22000, 22000, observation_.owner, {"b", "b-1", 12});
        const auto removing = commit(zone_.step(at(22000), lease_));
        CPPUNIT_ASSERT(removing && removing->row.candidates.empty());
        CPPUNIT_ASSERT(!zone_.may_act(at(22100), lease_));
        zone_.proposal_applied(removing->id, 500, at(22200));
        CPPUNIT_ASSERT(zone_.may_act(at(22300), lease_));
    }

    // Guards against an owner that acts after a successor requested a promise.
    void owner_superseded_by_request_stops()
    {
        own(false);
        CPPUNIT_ASSERT(zone_.may_act(at(90000), lease_));
        zone_.answer({zone_id_, d("b"), 2, 1}, at(90000));
        CPPUNIT_ASSERT(!zone_.may_act(at(90000), lease_));
    }

    // Guards against a VM that counts as stopped although it may have been
    // listed between two lists far apart.
    void observer_interrupted_list_does_not_take_over()
    {
        owner_row row = owned_by_a();
        row.candidates.clear();
        see(10000, 10000, row, {"a", "a-1", 5});
        for (const int ms : {10000, 45000, 50000, 55000, 60000, 65000, 70000})
        {
            zone_.list_received(at(ms), {}, at(ms));
            see(ms, ms, row, {"a", "a-1", 5});
            CPPUNIT_ASSERT(!takeover(at(ms)));
        }
        zone_.list_received(at(75000), {}, at(75000));
        see(75000, 75000, row, {"a", "a-1", 5});
        CPPUNIT_ASSERT(takeover(at(75000)));
    }

private:
    struct seen_session
    {
        std::string daemon;
        std::string incarnation;
        std::uint64_t version;
    };

    static base::daemon_id d(const std::string& name)
    {
        return base::daemon_id(name);
    }

    static base::time_point at(int ms)
    {
        return base::time_point(std::chrono::milliseconds(ms));
    }

    static observed_session session(const std::string& daemon,
                                    const std::string& incarnation,
                                    std::uint64_t version)
    {
        session_row row;
        row.incarnation = incarnation;
        row.zone = base::zone_id("z");
        row.token = daemon;
        return {version, row};
    }

    static owner_row owned_by_a()
    {
        return {5, d("a"), "a-1", {d("d")}};
    }

    promise_request request(std::uint64_t epoch) const
    {
        return {zone_id_, d("a"), epoch, 1};
    }

    void see(int sent, int arrived, const owner_row& row,
             const seen_session& other)
    {
        observation_.sent = at(sent);
        observation_.sequence += 1000;
        observation_.owner = row;
        observation_.owner_version = row.daemon == d("a") ? 7 : 400;
        observation_.sessions[d(other.daemon)] =
            session(other.daemon, other.incarnation, other.version);
        zone_.observe(observation_, at(arrived));
    }

    static std::optional<ownership_proposal>
    commit(const std::vector<ownership_action>& actions)
    {
        for (const ownership_action& action : actions)
        {
            if (const auto* found = std::get_if<ownership_proposal>(&action))
            {
                return *found;
            }
        }
        return std::nullopt;
    }

    // Makes the daemon the owner at 10 s, with the candidate b or none.
    void own(bool with_candidate)
    {
        observation_.sent = at(10000);
        if (with_candidate)
        {
            observation_.sessions[d("b")] = session("b", "b-1", 10);
            zone_.list_received(at(10000), {{d("b"), zone_id_, false}},
                                at(10000));
        }
        zone_.observe(observation_, at(10000));
        // With b, the first step only starts the delay per rank, since b has
        // the lower id.
        auto proposal = takeover(at(10000));
        proposal = proposal ? proposal : takeover(at(10600));
        CPPUNIT_ASSERT(proposal);
        zone_.proposal_applied(proposal->id, 400, at(10700));
        observation_.owner = proposal->row;
        observation_.owner_version = 400;
        observation_.sequence = 400;
    }

    // Lets the candidate b grant a promise that is requested now.
    void grant(int ms)
    {
        for (const ownership_action& action : zone_.step(at(ms), lease_))
        {
            const auto& sent = std::get<promise_dispatch>(action);
            zone_.promise_answered({zone_id_, sent.candidate,
                                    sent.request.epoch, sent.request.nonce,
                                    true});
        }
    }

    std::optional<ownership_proposal> takeover(base::time_point now)
    {
        return commit(zone_.step(now, lease_));
    }

    base::zone_id zone_id_{"z"};
    zone_observation observation_;
    session_lease lease_;
    zone_ownership zone_{zone_id_, d("d"), "d-1", at(0)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_ownership_test);

} // namespace coltsfootrack::coordination
