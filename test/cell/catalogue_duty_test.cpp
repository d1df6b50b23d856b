// Guards against every daemon of a region reading a large catalogue over the
// link between the regions, and against a zone in which nobody reads it.

#include <coltsfootrack/cell/catalogue_duty.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

const base::time_point start{std::chrono::seconds(100)};

base::daemon_id daemon(int number)
{
    return base::daemon_id("a-" + std::to_string(number));
}

// A zone of daemons, two of them on larger VMs, that exchange their statuses.
class zone_fixture
{
public:
    static constexpr int count = 9;

    zone_fixture()
    {
        for (int i = 0; i < count; ++i)
        {
            duties.emplace_back(daemon(i), processor(i),
                                catalogue_duty::limits());
        }
    }

    static std::uint32_t processor(int number)
    {
        return number == 4 || number == 7 ? 500 : 120;
    }

    // The store answers the daemons that follow it, but for those in `silent`.
    void exchange_statuses(const std::vector<int>& silent = {})
    {
        std::vector<bool> following;
        for (catalogue_duty& duty : duties)
        {
            following.push_back(duty.update(now));
        }
        for (const int number : silent)
        {
            following[static_cast<std::size_t>(number)] = false;
        }
        for (int to = 0; to < count; ++to)
        {
            for (int from = 0; from < count; ++from)
            {
                if (from != to)
                {
                    duties[static_cast<std::size_t>(to)].on_status(
                        daemon(from), processor(from),
                        following[static_cast<std::size_t>(from)]
                            ? std::optional<milliseconds>(milliseconds(0))
                            : std::nullopt,
                        now);
                }
            }
        }
    }

    std::vector<int> followers()
    {
        std::vector<int> found;
        for (int i = 0; i < count; ++i)
        {
            if (duties[static_cast<std::size_t>(i)].update(now))
            {
                found.push_back(i);
            }
        }
        return found;
    }

    base::time_point now = start;
    std::vector<catalogue_duty> duties;
};

} // namespace

class catalogue_duty_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_duty_test);
    CPPUNIT_TEST(duty_without_statuses_is_taken_by_everyone);
    CPPUNIT_TEST(duty_is_left_to_the_largest_vms);
    CPPUNIT_TEST(duty_of_daemon_without_store_goes_to_next);
    CPPUNIT_TEST(duty_of_silent_followers_goes_to_others);
    CPPUNIT_TEST(duty_of_lost_peer_goes_to_next);
    CPPUNIT_TEST_SUITE_END();

public:
    void duty_without_statuses_is_taken_by_everyone()
    {
        zone_fixture zone;
        CPPUNIT_ASSERT_EQUAL(std::size_t(zone_fixture::count),
                             zone.followers().size());
    }

    void duty_is_left_to_the_largest_vms()
    {
        zone_fixture zone;
        for (int i = 0; i < 4; ++i)
        {
            zone.exchange_statuses();
            zone.now += milliseconds(500);
        }
        CPPUNIT_ASSERT(zone.followers() == std::vector<int>({4, 7}));
    }

    // Guards against a zone in which all read a large catalogue at once since
    // one read of a follower has failed.
    void duty_of_daemon_without_store_goes_to_next()
    {
        zone_fixture zone;
        zone.exchange_statuses();
        zone.exchange_statuses();
        for (int i = 0; i < 10; ++i)
        {
            zone.exchange_statuses({4});
            CPPUNIT_ASSERT(zone.followers().size() <= 3);
            zone.now += milliseconds(250);
        }
        CPPUNIT_ASSERT(zone.followers() == std::vector<int>({0, 4, 7}));
    }

    void duty_of_silent_followers_goes_to_others()
    {
        zone_fixture zone;
        zone.exchange_statuses();
        zone.exchange_statuses();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, zone.followers().size());
        for (int i = 0; i < 10; ++i)
        {
            zone.exchange_statuses({4, 7});
            CPPUNIT_ASSERT(zone.followers().size() <= 5);
            zone.now += milliseconds(250);
        }
        CPPUNIT_ASSERT(zone.followers() == std::vector<int>({0, 1, 4, 7}));
    }

    void duty_of_lost_peer_goes_to_next()
    {
        zone_fixture zone;
        zone.exchange_statuses();
        zone.exchange_statuses();
        for (catalogue_duty& duty : zone.duties)
        {
            duty.on_link_lost(daemon(7));
        }
        CPPUNIT_ASSERT(zone.followers() == std::vector<int>({0, 4, 7}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_duty_test);

} // namespace coltsfootrack::cell
