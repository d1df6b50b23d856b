// Compares index_ranges with a plain set.

#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/jobs/index_ranges.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace coltsfootrack::jobs
{
namespace
{

// The number of ranges that a set has.
std::size_t ranges_of(const std::set<int>& values)
{
    std::size_t ranges = 0;
    for (const int value : values)
    {
        ranges += values.count(value - 1) == 0 ? 1 : 0;
    }
    return ranges;
}

} // namespace

class index_ranges_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(index_ranges_test);
    CPPUNIT_TEST(random_ranges_equal_a_plain_set);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against indices that are lost or added where ranges meet.
    void random_ranges_equal_a_plain_set()
    {
        constexpr int limit = 30;
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
        {
            auto random = base::seeded_random(seed);
            index_ranges tested;
            std::set<int> plain;
            for (int i = 0; i < 20; ++i)
            {
                const int first = static_cast<int>(random() % limit);
                const int last =
                    first + static_cast<int>(random() % 3) * (i % 2);
                tested.insert_range(first, last);
                for (int value = first; value <= last; ++value)
                {
                    plain.insert(value);
                }
                const std::string at = "seed " + std::to_string(seed);
                for (int value = -1; value <= limit + 3; ++value)
                {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(at, plain.count(value) > 0,
                                                 tested.contains(value));
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(at, static_cast<int>(plain.size()),
                                             tested.size());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(at, ranges_of(plain),
                                             tested.ranges().size());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(index_ranges_test);

} // namespace coltsfootrack::jobs
