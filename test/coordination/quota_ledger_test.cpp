// Tests of quota_ledger and adoption_tracker by sequences of events: a team
// must not exceed its limit over all zones, also not after a takeover.

#include <coltsfootrack/coordination/adoption_tracker.hpp>
#include <coltsfootrack/coordination/quota_ledger.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::coordination
{

class quota_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_ledger_test);
    CPPUNIT_TEST(limit_lowered_shrinks_in_proportion_then_by_kept_slices);
    CPPUNIT_TEST(raise_in_doubt_is_resolved_by_newer_row);
    CPPUNIT_TEST(raise_takes_at_most_the_free_amount);
    CPPUNIT_TEST(slice_unused_for_five_seconds_is_returned);
    CPPUNIT_TEST(takeover_pending_workers_bound_the_use);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks started above a lowered limit, against a slice that
    // is lowered while its tasks run, and against a limit that stays exceeded
    // because a zone is cut off.
    void limit_lowered_shrinks_in_proportion_then_by_kept_slices()
    {
        ledger_.row_read({1, {{a_, cpu(60)}, {b_, cpu(40)}}});
        ledger_.limit_changed(cpu(100), 5, at(0));
        ledger_.set_demand(cpu(50), {}, at(0));
        ledger_.limit_changed(cpu(50), 6, at(1000));
        CPPUNIT_ASSERT(ledger_.usable() == cpu(30));
        CPPUNIT_ASSERT(ledger_.to_preempt() == cpu(20));
        CPPUNIT_ASSERT(!ledger_.plan(at(1000)));
        ledger_.set_demand(cpu(30), {}, at(5000));
        auto proposal = ledger_.plan(at(5000));
        CPPUNIT_ASSERT(proposal && !proposal->limit_version);
        CPPUNIT_ASSERT(proposal->slices.at(a_) == cpu(30));
        ledger_.proposal_applied(proposal->id, 2);
        CPPUNIT_ASSERT(!ledger_.plan(at(24000)));
        CPPUNIT_ASSERT(ledger_.usable() == cpu(30));
        // Zone b has kept its 40 for 24 s.
        ledger_.plan(at(26000));
        CPPUNIT_ASSERT(ledger_.usable() == cpu(10));
    }

    // Guards against use of a raise that may not have taken effect.
    void raise_in_doubt_is_resolved_by_newer_row()
    {
        ledger_.row_read({1, {{a_, cpu(10)}}});
        ledger_.limit_changed(cpu(100), 5, at(0));
        ledger_.set_demand(cpu(10), cpu(5), at(0));
        const auto proposal = ledger_.plan(at(0));
        CPPUNIT_ASSERT(proposal && proposal->limit_version == 5U);
        // Each of three zones may take a third of the free amount.
        CPPUNIT_ASSERT(proposal->slices.at(a_) == cpu(40));
        ledger_.outcome_unknown(proposal->id);
        CPPUNIT_ASSERT(ledger_.needs_read());
        ledger_.row_read({1, {{a_, cpu(10)}}});
        CPPUNIT_ASSERT(ledger_.needs_read() && ledger_.usable() == cpu(10));
        ledger_.row_read({3, {{a_, cpu(40)}, {b_, cpu(20)}}});
        CPPUNIT_ASSERT(!ledger_.needs_read());
        CPPUNIT_ASSERT(ledger_.usable() == cpu(40));
    }

    // Guards against a raise above what the other zones leave free.
    void raise_takes_at_most_the_free_amount()
    {
        ledger_.row_read({1, {{b_, cpu(30)}}});
        ledger_.limit_changed(cpu(100), 5, at(0));
        ledger_.set_demand({}, cpu(200), at(0));
        CPPUNIT_ASSERT(ledger_.plan(at(0))->slices.at(a_) == cpu(70));
        CPPUNIT_ASSERT(ledger_.usable() == cpu(0));
    }

    // Guards against idle slices while other zones wait, and against use of an
    // amount that is being returned.
    void slice_unused_for_five_seconds_is_returned()
    {
        ledger_.row_read({1, {{a_, cpu(40)}}});
        ledger_.limit_changed(cpu(100), 5, at(0));
        ledger_.set_demand(cpu(40), {}, at(0));
        for (int ms = 100; ms <= 5000; ms += 100)
        {
            ledger_.set_demand(cpu(15), {}, at(ms));
            CPPUNIT_ASSERT(!ledger_.plan(at(ms)));
        }
        std::optional<quota_proposal> proposal;
        for (int ms = 5100; ms <= 6600 && !proposal; ms += 100)
        {
            ledger_.set_demand(cpu(15), {}, at(ms));
            proposal = ledger_.plan(at(ms));
        }
        CPPUNIT_ASSERT(proposal && proposal->slices.at(a_) == cpu(15));
        CPPUNIT_ASSERT(ledger_.usable() == cpu(15));
        ledger_.proposal_rejected(proposal->id);
        CPPUNIT_ASSERT(ledger_.usable() == cpu(40));
    }

    // Guards against starting tasks on, or returning, a slice that unreported
    // tasks of the previous owner may be using.
    void takeover_pending_workers_bound_the_use()
    {
        adoption_tracker adoption;
        const base::worker_id one("1");
        const base::worker_id two("2");
        adoption.add_worker(one, cpu(32));
        adoption.add_worker(two, cpu(32));
        adoption.takeover(6, at(0));
        adoption.adopted(one, 5);
        CPPUNIT_ASSERT(adoption.state(one, at(1)) == adoption_state::pending);
        adoption.adopted(one, 6);
        CPPUNIT_ASSERT(adoption.state(one, at(1)) == adoption_state::adopted);
        CPPUNIT_ASSERT(adoption.use_bound(cpu(20), cpu(5), at(1)) == cpu(20));
        CPPUNIT_ASSERT(adoption.use_bound(cpu(90), cpu(5), at(1)) == cpu(37));
        CPPUNIT_ASSERT(adoption.use_bound(cpu(2), cpu(5), at(1)) == cpu(5));
        CPPUNIT_ASSERT(adoption.state(two, at(31999)) ==
                       adoption_state::pending);
        CPPUNIT_ASSERT(adoption.state(two, at(32000)) ==
                       adoption_state::lapsed);
        CPPUNIT_ASSERT(adoption.use_bound(cpu(90), cpu(5), at(32000)) ==
                       cpu(5));
    }

private:
    static base::time_point at(int ms)
    {
        return base::time_point(std::chrono::milliseconds(ms));
    }

    static base::resources cpu(std::int64_t amount)
    {
        return {amount, 0, 0};
    }

    base::zone_id a_{"a"};
    base::zone_id b_{"b"};
    quota_ledger ledger_{base::team_id("t"), a_, 3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_ledger_test);

} // namespace coltsfootrack::coordination
