// Guards against a new leader that does not know of a worker which a former one
// has used.

#include <coltsfootrack/cell/worker_roster.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::size_t parts = 4;

fleet::worker_listing listing(const std::string& id)
{
    fleet::worker_listing made;
    made.worker = base::worker_id(id);
    made.service = base::service_id("fitting");
    made.zone = base::zone_id("muscat-a");
    made.address = "10.2.64.47:8386";
    made.capacity = {32000, 131072, 8};
    return made;
}

// Writes all rows that have changed to another roster, and returns how many.
int write_to(worker_roster& from, worker_roster& to)
{
    int rows = 0;
    for (std::size_t part = 0; part < parts; ++part)
    {
        if (const auto row = from.next_write(part))
        {
            CPPUNIT_ASSERT(to.load(part, row->text).ok());
            from.on_stored(part, row->change);
            ++rows;
        }
    }
    return rows;
}

} // namespace

class worker_roster_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_roster_test);
    CPPUNIT_TEST(roster_read_back_names_every_worker);
    CPPUNIT_TEST(worker_added_is_stored_only_after_its_row);
    CPPUNIT_TEST(worker_added_during_write_waits_for_next_write);
    CPPUNIT_TEST(worker_known_needs_no_write);
    CPPUNIT_TEST(worker_leaving_is_stored_and_read_back);
    CPPUNIT_TEST(worker_removed_leaves_row);
    CPPUNIT_TEST(row_malformed_is_an_error_and_adds_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void roster_read_back_names_every_worker()
    {
        worker_roster first(parts);
        for (int i = 0; i < 540; ++i)
        {
            first.add(listing("i-" + std::to_string(i)));
        }
        worker_roster next(parts);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(parts), write_to(first, next));
        CPPUNIT_ASSERT_EQUAL(std::size_t{540}, next.workers().size());
        CPPUNIT_ASSERT(next.workers().front() ==
                       listing(next.workers().front().worker.text()));
        for (const auto& worker : next.workers())
        {
            CPPUNIT_ASSERT(next.stored(worker.worker));
        }
    }

    void worker_added_is_stored_only_after_its_row()
    {
        worker_roster roster(1);
        const base::worker_id id("i-1");
        CPPUNIT_ASSERT(!roster.stored(id));
        roster.add(listing("i-1"));
        CPPUNIT_ASSERT(!roster.stored(id));
        const auto row = roster.next_write(0);
        CPPUNIT_ASSERT(row.has_value());
        CPPUNIT_ASSERT(!roster.stored(id));
        roster.on_stored(0, row->change);
        CPPUNIT_ASSERT(roster.stored(id));
    }

    void worker_added_during_write_waits_for_next_write()
    {
        worker_roster roster(1);
        roster.add(listing("i-1"));
        const auto first = roster.next_write(0);
        roster.add(listing("i-2"));
        roster.on_stored(0, first->change);
        CPPUNIT_ASSERT(roster.stored(base::worker_id("i-1")));
        CPPUNIT_ASSERT(!roster.stored(base::worker_id("i-2")));
        const auto second = roster.next_write(0);
        roster.on_stored(0, second->change);
        CPPUNIT_ASSERT(roster.stored(base::worker_id("i-2")));
        CPPUNIT_ASSERT(!roster.next_write(0).has_value());
    }

    // Each report of a worker changes its entry on the platform's list.
    void worker_known_needs_no_write()
    {
        worker_roster first(parts);
        first.add(listing("i-1"));
        worker_roster next(parts);
        write_to(first, next);
        auto labelled = listing("i-1");
        labelled.labels = {"large", "r1-3"};
        next.add(labelled);
        CPPUNIT_ASSERT_EQUAL(0, write_to(next, first));
        CPPUNIT_ASSERT(next.stored(labelled.worker));
    }

    // Guards against a new leader that waits for a worker that has left as if
    // it could restart. Rows of former versions do not say so.
    void worker_leaving_is_stored_and_read_back()
    {
        worker_roster first(parts);
        first.add(listing("i-1"));
        worker_roster next(parts);
        write_to(first, next);
        auto leaving = listing("i-1");
        leaving.leaving = true;
        first.add(leaving);
        CPPUNIT_ASSERT(first.stored(leaving.worker));
        worker_roster after(parts);
        CPPUNIT_ASSERT_EQUAL(1, write_to(first, after));
        CPPUNIT_ASSERT(after.workers().at(0).leaving);
        worker_roster former(parts);
        CPPUNIT_ASSERT(
            former.load(0, R"([["i-2","s","z","10.0.0.1:1",1,1,0]])").ok());
        CPPUNIT_ASSERT(!former.workers().at(0).leaving);
    }

    void worker_removed_leaves_row()
    {
        worker_roster first(parts);
        first.add(listing("i-1"));
        first.add(listing("i-2"));
        first.remove(base::worker_id("i-1"));
        worker_roster next(parts);
        write_to(first, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.workers().size());
        CPPUNIT_ASSERT(!first.stored(base::worker_id("i-1")));
        first.remove(base::worker_id("i-1"));
        CPPUNIT_ASSERT_EQUAL(0, write_to(first, next));
    }

    void row_malformed_is_an_error_and_adds_nothing()
    {
        for (const char* text :
             {"", "{}", "[[1]]", "[[\"i-1\",\"s\",\"z\",\"a\",1,2]]",
              "[[\"i-1\",\"s\",\"z\",\"a\",1,2,3],[]]", "[\"i-1\"]"})
        {
            worker_roster roster(1);
            CPPUNIT_ASSERT_MESSAGE(text, !roster.load(0, text).ok());
            CPPUNIT_ASSERT(roster.workers().empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_roster_test);

} // namespace coltsfootrack::cell
