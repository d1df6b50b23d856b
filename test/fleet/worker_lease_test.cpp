// Tests of worker_lease: a task must not be restarted while the worker, whose
// clock may be slow, could still be running it.

#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/fleet/worker_lease.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::fleet
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds(100)};

} // namespace

class worker_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_lease_test);
    CPPUNIT_TEST(grant_before_first_answer_is_not_possible);
    CPPUNIT_TEST(lease_of_former_leader_must_expire_first);
    CPPUNIT_TEST(lease_never_expires_while_slow_worker_runs);
    CPPUNIT_TEST(lease_of_former_life_counts_until_it_must_have_expired);
    CPPUNIT_TEST_SUITE_END();

public:
    void grant_before_first_answer_is_not_possible()
    {
        worker_lease lease(milliseconds(5000), milliseconds(5000),
                           milliseconds(0));
        CPPUNIT_ASSERT(!lease.grant(start));
        lease.note_clock(milliseconds(70000), start, start);
        CPPUNIT_ASSERT(*lease.grant(start) == milliseconds(75000));
    }

    void lease_of_former_leader_must_expire_first()
    {
        const worker_lease lease(milliseconds(1000), milliseconds(5000),
                                 milliseconds(700));
        CPPUNIT_ASSERT(!lease.expired(start + milliseconds(5700), start));
        CPPUNIT_ASSERT(lease.expired(start + milliseconds(6000), start));
    }

    // The worker's clock is up to 2% slow and answers take varying time. The
    // lease may count as expired only once the worker's clock has passed it.
    void lease_never_expires_while_slow_worker_runs()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed)
        {
            const base::random_source random = base::seeded_random(seed);
            const double rate =
                0.98 + static_cast<double>(random() % 200) / 10000.0;
            worker_lease lease(milliseconds(3000), milliseconds(3000),
                               milliseconds(0));
            base::time_point now = start;
            double granted = 0;
            const auto worker_clock = [&](base::time_point at)
            {
                return 50000 +
                       rate * static_cast<double>(
                                  std::chrono::duration_cast<milliseconds>(
                                      at - start)
                                      .count());
            };
            for (int turn = 0; turn < 20; ++turn)
            {
                const base::time_point read = now;
                now += milliseconds(random() % 300);
                lease.note_clock(
                    milliseconds(static_cast<std::int64_t>(worker_clock(read))),
                    read, now);
                const auto end = lease.grant(now);
                granted = std::max(granted, static_cast<double>(end->count()));
                now += milliseconds(random() % 800);
            }
            while (!lease.expired(now, start))
            {
                now += milliseconds(10);
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   worker_clock(now) > granted);
        }
    }

    // Guards against tasks run twice: calls that were meant for the former life
    // of a worker grant its new life the longest lease, and may still arrive
    // after its first answer. The new clock is slow, and starts anywhere.
    void lease_of_former_life_counts_until_it_must_have_expired()
    {
        constexpr milliseconds length{3000};
        constexpr milliseconds longest{8000};
        constexpr int delivery_ms = 900;
        for (std::uint64_t seed = 1; seed <= 2000; ++seed)
        {
            const base::random_source random = base::seeded_random(seed);
            const auto below = [&](int limit)
            {
                return milliseconds(random() % static_cast<unsigned>(limit));
            };
            const double rate =
                0.98 + static_cast<double>(random() % 200) / 10000.0;
            worker_lease lease(length, longest, milliseconds(delivery_ms));
            base::time_point now = start;
            lease.note_clock(below(50000), now, now);
            now += below(100);
            const milliseconds former_end = *lease.grant(now);
            const base::time_point arrives = now + below(delivery_ms);
            const base::time_point born = now - below(3000);
            const milliseconds offset = below(100000);
            const auto worker_clock = [&](base::time_point at)
            {
                const auto age =
                    std::chrono::duration_cast<milliseconds>(at - born);
                return offset + milliseconds(static_cast<std::int64_t>(
                                    rate * static_cast<double>(age.count())));
            };
            const milliseconds held =
                std::min(former_end, worker_clock(arrives) + longest);
            const base::time_point sent = now + below(2 * delivery_ms);
            const base::time_point read = sent + below(300);
            now = read + below(300);
            const base::time_point unheard = now;
            CPPUNIT_ASSERT(!lease.expired_in_later_life(arrives));
            lease.restart(worker_clock(read), sent, now, milliseconds(0));
            while (!lease.expired(now, start))
            {
                now += milliseconds(10);
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   worker_clock(now) >= held);
            // Without an answer of the new life.
            now = unheard;
            while (!lease.expired_in_later_life(now))
            {
                now += milliseconds(10);
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   worker_clock(now) >= held);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_lease_test);

} // namespace coltsfootrack::fleet
