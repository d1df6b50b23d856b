// Tests of reading a table of several parts. Guards against rows that are lost,
// or taken from an abandoned read, when parts are read concurrently.

#include "fake_store.hpp"

#include <coltsfootrack/base/system_clock.hpp>
#include <coltsfootrack/cell/table_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <stdexcept>
#include <thread>

namespace coltsfootrack::cell
{
namespace
{

using std::chrono::milliseconds;

// Follows a table of three parts on its own control thread; the test answers
// the reads.
class followed_table
{
public:
    followed_table()
        : loop_(clock_, 100)
    {
        store_.read = [this](const std::string& /*table*/,
                             const std::string& part,
                             const std::string& /*from*/, std::size_t /*limit*/,
                             const auto& done)
        {
            reads.emplace_back(part, done);
        };
        store_.follow = [this](const std::string& /*table*/,
                               std::uint64_t after, milliseconds wait,
                               const auto& done)
        {
            followed_from = after;
            followed_wait = wait;
            followed_at.push_back(clock_.now());
            follows.push_back(done);
        };
        table_follower::hooks callbacks;
        callbacks.on_answer = [](bool /*answered*/) {
        };
        callbacks.on_snapshot = [this](const std::vector<stored_row>& rows)
        {
            snapshots.push_back(rows);
            fail();
        };
        callbacks.on_changes = [this](const std::vector<stored_row>& /*rows*/)
        {
            changed_after = follower_->changed_after();
            fail();
        };
        follower_ = std::make_unique<table_follower>(
            loop_, store_, "t", std::vector<std::string>{"a", "b", "c"},
            page_budget{500, 3}, milliseconds(1500), milliseconds(0),
            std::move(callbacks));
        thread_ = std::thread([this] { loop_.run(); });
        run([this] { follower_->start(); });
    }

    ~followed_table()
    {
        run([this] { follower_.reset(); });
        loop_.stop();
        thread_.join();
    }

    followed_table(const followed_table&) = delete;
    followed_table& operator=(const followed_table&) = delete;

    // Runs a function on the control thread and waits for it.
    template <class Action>
    void run(Action action)
    {
        std::promise<void> done;
        loop_.post(
            [&]
            {
                action();
                done.set_value();
            });
        done.get_future().wait();
    }

    // Answers the read of this index.
    void answer(std::size_t read, const read_result& result)
    {
        run([&] { reads.at(read).second(result); });
    }

    // Answers the read of changes of this index.
    void answer_follow(std::size_t follow, const read_result& result)
    {
        run([&] { follows.at(follow)(result); });
    }

    void set_active(bool active)
    {
        run([&] { follower_->set_active(active); });
    }

    // Waits until a condition holds on the control thread, for 1 s at most.
    template <class Condition>
    bool wait_for(Condition condition)
    {
        bool met = false;
        for (int i = 0; i < 200 && !met; ++i)
        {
            std::this_thread::sleep_for(milliseconds(5));
            run([&] { met = condition(); });
        }
        return met;
    }

    static read_result page(const std::string& part, std::uint64_t version)
    {
        read_result result;
        result.status = read_status::ok;
        result.version = version;
        result.rows.push_back({{"t", part, "key"}, part, version});
        return result;
    }

    std::vector<std::pair<std::string, store_port::read_callback>> reads;
    std::vector<store_port::read_callback> follows;
    std::vector<base::time_point> followed_at;
    std::vector<std::vector<stored_row>> snapshots;
    // The bound at the last change.
    base::time_point changed_after;
    // Whether the hooks throw.
    bool throwing = false;
    std::uint64_t followed_from = 0;
    milliseconds followed_wait{0};

private:
    void fail() const
    {
        if (throwing)
        {
            throw std::runtime_error("unexpected row");
        }
    }

    base::system_clock clock_;
    daemon::control_loop loop_;
    store_port store_;
    std::unique_ptr<table_follower> follower_;
    std::thread thread_;
};

} // namespace

class table_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_follower_test);
    CPPUNIT_TEST(snapshot_has_rows_of_all_parts);
    CPPUNIT_TEST(changes_are_followed_from_oldest_version);
    CPPUNIT_TEST(failed_part_alone_is_read_again);
    CPPUNIT_TEST(hook_throws_table_is_still_followed);
    CPPUNIT_TEST(failed_follow_is_retried_without_wait);
    CPPUNIT_TEST(changed_after_is_the_last_read_without_the_change);
    CPPUNIT_TEST(follower_inactive_asks_nothing_until_active);
    CPPUNIT_TEST_SUITE_END();

public:
    void snapshot_has_rows_of_all_parts()
    {
        followed_table table;
        CPPUNIT_ASSERT(table.wait_for([&] { return table.reads.size() == 3; }));
        for (const std::size_t i : {2U, 0U, 1U})
        {
            table.answer(i, followed_table::page(table.reads[i].first, 10));
        }
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.snapshots.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), table.snapshots[0].size());
    }

    void changes_are_followed_from_oldest_version()
    {
        followed_table table;
        table.answer(0, followed_table::page("a", 12));
        table.answer(1, followed_table::page("b", 9));
        table.answer(2, followed_table::page("c", 11));
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), table.followed_from);
    }

    // Guards against a read that begins again at each failure, and so never
    // ends on a thin link.
    void failed_part_alone_is_read_again()
    {
        followed_table table;
        table.answer(0, followed_table::page("a", 5));
        table.answer(1, read_result());
        table.answer(2, followed_table::page("c", 20));
        CPPUNIT_ASSERT(table.wait_for([&] { return table.reads.size() == 4; }));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), table.reads[3].first);
        CPPUNIT_ASSERT(table.snapshots.empty());
        table.answer(3, followed_table::page("b", 30));
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.snapshots.size() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), table.snapshots[0].size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), table.followed_from);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), table.reads.size());
    }

    // Guards against one unexpected row after which changes are missed.
    void hook_throws_table_is_still_followed()
    {
        followed_table table;
        table.run([&] { table.throwing = true; });
        for (std::size_t i = 0; i < 3; ++i)
        {
            table.answer(i, followed_table::page(table.reads[i].first, 10));
        }
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 1; }));
        table.answer_follow(0, followed_table::page("a", 11));
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 2; }));
    }

    // Guards against noticing seconds late that the store is back.
    void failed_follow_is_retried_without_wait()
    {
        followed_table table;
        for (std::size_t i = 0; i < 3; ++i)
        {
            table.answer(i, followed_table::page(table.reads[i].first, 10));
        }
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 1; }));
        CPPUNIT_ASSERT(table.followed_wait == milliseconds(1500));
        table.answer_follow(0, read_result());
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 2; }));
        CPPUNIT_ASSERT(table.followed_wait == milliseconds(0));
        read_result nothing_new;
        nothing_new.status = read_status::ok;
        nothing_new.version = 10;
        table.answer_follow(1, nothing_new);
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 3; }));
        CPPUNIT_ASSERT(table.followed_wait == milliseconds(1500));
    }

    // Guards against an age of a change that is too small, since its row was
    // written long before the read that shows it is answered.
    void changed_after_is_the_last_read_without_the_change()
    {
        followed_table table;
        for (std::size_t i = 0; i < 3; ++i)
        {
            table.answer(i, followed_table::page(table.reads[i].first, 7));
        }
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 1; }));
        read_result nothing_new;
        nothing_new.status = read_status::ok;
        nothing_new.version = 9;
        table.answer_follow(0, nothing_new);
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 2; }));
        // A failure shows nothing.
        table.answer_follow(1, read_result());
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 3; }));
        table.answer_follow(2, followed_table::page("a", 11));
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 4; }));
        table.run(
            [&]
            { CPPUNIT_ASSERT(table.changed_after <= table.followed_at[0]); });
        table.answer_follow(3, followed_table::page("a", 12));
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 5; }));
        table.run(
            [&]
            {
                CPPUNIT_ASSERT(table.changed_after > table.followed_at[1]);
                CPPUNIT_ASSERT(table.changed_after <= table.followed_at[2]);
            });
    }

    // Guards against changes that are missed, or read twice at a time, when the
    // following of a table ends and begins again.
    void follower_inactive_asks_nothing_until_active()
    {
        followed_table table;
        for (std::size_t i = 0; i < 3; ++i)
        {
            table.answer(i, followed_table::page(table.reads[i].first, 7));
        }
        CPPUNIT_ASSERT(
            table.wait_for([&] { return table.follows.size() == 1; }));
        table.set_active(false);
        read_result nothing_new;
        nothing_new.status = read_status::ok;
        nothing_new.version = 9;
        table.answer_follow(0, nothing_new);
        // The answer is handled behind the one that is posted here.
        table.run([] {});
        table.run([] {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.follows.size());
        table.set_active(true);
        table.set_active(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.follows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, table.followed_from);
        CPPUNIT_ASSERT(table.followed_wait == milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_follower_test);

} // namespace coltsfootrack::cell
