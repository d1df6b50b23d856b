// Tests of session_lease by sequences of events: a daemon must not act after
// another daemon may have taken over.

#include <coltsfootrack/coordination/session_lease.hpp>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::coordination
{

class session_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(session_lease_test);
    CPPUNIT_TEST(commit_known_late_counts_from_its_own_start);
    CPPUNIT_TEST(fenced_lease_never_returns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a lease that counts from a later attempt or from when the
    // outcome became known.
    void commit_known_late_counts_from_its_own_start()
    {
        const std::uint64_t first = lease_.commit_started(at(1));
        lease_.outcome_unknown(first);
        const std::uint64_t second = lease_.commit_started(at(3));
        CPPUNIT_ASSERT(lease_.in_doubt() && !lease_.valid_until());
        lease_.commit_succeeded(first);
        CPPUNIT_ASSERT(lease_.is_valid(at(6)) && !lease_.is_valid(at(7)));
        // The second attempt had the same condition and can no longer succeed.
        lease_.commit_succeeded(second);
        CPPUNIT_ASSERT(!lease_.in_doubt() && !lease_.is_valid(at(7)));
    }

    // Guards against a daemon that acts after a successor fenced its session.
    void fenced_lease_never_returns()
    {
        const std::uint64_t first = lease_.commit_started(at(1));
        lease_.commit_succeeded(first);
        lease_.fenced();
        CPPUNIT_ASSERT(!lease_.is_valid(at(2)));
        lease_.commit_succeeded(lease_.commit_started(at(2)));
        CPPUNIT_ASSERT(!lease_.valid_until());
    }

private:
    static base::time_point at(int s)
    {
        return base::time_point(std::chrono::seconds(s));
    }

    session_lease lease_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_lease_test);

} // namespace coltsfootrack::coordination
