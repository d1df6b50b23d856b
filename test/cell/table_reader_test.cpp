// Reads tables from a store that fails and answers out of order. Guards against
// rows that are lost or read twice, and against a read that takes the whole
// link or never ends.

#include "fake_store.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/cell/table_reader.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t megabit = 125000;

// A store of a table with random rows, which answers reads in random order and
// fails some of them.
class random_store
{
public:
    random_store(std::uint64_t seed, std::size_t parts, int failing_percent)
        : random_(seed)
        , failing_percent_(failing_percent)
        , loop_(clock_, 1000)
    {
        for (std::size_t part = 0; part < parts; ++part)
        {
            part_names_.push_back("p" + std::to_string(part));
            const std::uint64_t rows = random_() % 60;
            for (std::uint64_t i = 0; i < rows; ++i)
            {
                const std::string key = std::to_string(random_());
                store_.put({"t", part_names_.back(), key}, "value");
            }
        }
        port_.read = [this](const std::string& table, const std::string& part,
                            const std::string& from, std::size_t limit,
                            const auto& done)
        {
            most_in_flight = std::max(most_in_flight, ++in_flight_);
            most_rows = std::max(most_rows, limit);
            loop_.after(milliseconds(random_() % 3),
                        [this, table, part, from, limit, done]
                        {
                            --in_flight_;
                            done(answer(table, part, from, limit));
                        });
        };
    }

    // Reads the whole table and counts how often each row was delivered.
    std::map<row_id, int> read_all(page_budget budget)
    {
        std::map<row_id, int> read;
        std::promise<std::uint64_t> ended;
        table_reader::hooks callbacks;
        callbacks.on_answer = [](bool /*answered*/) {
        };
        callbacks.on_rows =
            [&](std::size_t part, const std::vector<stored_row>& rows)
        {
            for (const stored_row& row : rows)
            {
                CPPUNIT_ASSERT_EQUAL(part_names_[part], row.id.part);
                ++read[row.id];
            }
        };
        callbacks.on_end = [&](std::uint64_t version)
        {
            ended.set_value(version);
        };
        table_reader reader(loop_, port_, "t", part_names_, budget,
                            std::move(callbacks));
        std::thread thread([this] { loop_.run(); });
        loop_.post([&] { reader.start(); });
        const std::uint64_t version = ended.get_future().get();
        loop_.stop();
        thread.join();
        CPPUNIT_ASSERT(version <= store_.version());
        return read;
    }

    std::size_t row_count() const
    {
        return store_.rows().size();
    }

    std::size_t most_in_flight = 0;
    std::size_t most_rows = 0;

private:
    read_result answer(const std::string& table, const std::string& part,
                       const std::string& from, std::size_t limit)
    {
        read_result result;
        if (random_() % 100 < static_cast<std::uint64_t>(failing_percent_))
        {
            return result;
        }
        result.status = read_status::ok;
        result.version = store_.version();
        for (const auto& [id, row] : store_.rows())
        {
            if (id.table != table || id.part != part || id.key < from)
            {
                continue;
            }
            if (result.rows.size() == limit)
            {
                result.more = true;
                break;
            }
            result.rows.push_back(row);
        }
        return result;
    }

    std::mt19937_64 random_;
    int failing_percent_;
    base::system_clock clock_;
    daemon::control_loop loop_;
    fake_store store_;
    store_port port_;
    std::vector<std::string> part_names_;
    std::size_t in_flight_ = 0;
};

} // namespace

class table_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_reader_test);
    CPPUNIT_TEST(read_failing_store_delivers_each_row_once);
    CPPUNIT_TEST(read_stays_within_budget);
    CPPUNIT_TEST(budget_takes_a_fraction_of_the_link);
    CPPUNIT_TEST_SUITE_END();

public:
    void read_failing_store_delivers_each_row_once()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            random_store store(seed, 1 + seed % 7, 10);
            const auto read = store.read_all({1 + seed % 9, 1 + seed % 5});
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, store.row_count(),
                                         read.size());
            for (const auto& [id, count] : read)
            {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 1, count);
            }
        }
    }

    void read_stays_within_budget()
    {
        random_store store(7, 16, 0);
        CPPUNIT_ASSERT_EQUAL(store.row_count(), store.read_all({10, 3}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store.most_in_flight);
        CPPUNIT_ASSERT(store.most_rows <= 10);
    }

    // With 1.4 KB a row, the pages in flight take the link for a third of a
    // second; on a fast link all parts are read at once.
    void budget_takes_a_fraction_of_the_link()
    {
        struct
        {
            std::uint64_t rate;
            std::size_t parts;
            page_budget expected;
        } const cases[] = {
            {2 * megabit, 16, {59, 1}},     {10 * megabit, 16, {74, 4}},
            {20 * megabit, 16, {66, 9}},    {0, 16, {66, 9}},
            {200 * megabit, 16, {372, 16}}, {1000 * megabit, 16, {500, 16}},
            {1000 * megabit, 1, {500, 1}},  {1, 16, {32, 1}}};
        for (const auto& each : cases)
        {
            const page_budget budget = page_budget_for(each.rate, each.parts);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(each.rate) + ": " +
                                       std::to_string(budget.rows) + " rows, " +
                                       std::to_string(budget.pages) + " pages",
                                   budget == each.expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_reader_test);

} // namespace coltsfootrack::cell
