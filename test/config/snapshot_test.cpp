// Tests of snapshots: they must reflect committed tickets exactly, never
// revert to an older state, and refuse rows that they cannot read.

#include "generators.hpp"
#include "reference_history.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/snapshot.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <string>

namespace coltsfootrack::config
{
namespace
{

ticket ticket_of(std::uint64_t number, std::vector<ticket_object> objects)
{
    return {number, "operator", std::move(objects)};
}

team active_team(const char* name)
{
    return {base::team_id(name), 1, {1000, 1000, 0}, false};
}

workload open_workload(const char* queue_name)
{
    workload result;
    result.name = base::workload_id("w");
    result.team = base::team_id("t");
    result.open = true;
    result.queue = queue_name;
    result.per_task = {1, 1, 0};
    result.run_time = std::chrono::milliseconds(1);
    return result;
}

snapshot::pointer applied(const snapshot::pointer& before,
                          std::vector<ticket_object> objects)
{
    const std::uint64_t next = before->sequence() + 1;
    const auto after = before->apply(ticket_of(next, std::move(objects)), next);
    CPPUNIT_ASSERT(after.ok());
    return *after;
}

// All rows as one comparable value.
std::map<std::string, std::string> contents(const snapshot& value)
{
    std::map<std::string, std::string> result;
    for (const object_row& row : value.rows())
    {
        result[row_key(row.kind, row.name)] = row.json;
    }
    return result;
}

} // namespace

class snapshot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(snapshot_test);
    CPPUNIT_TEST(snapshot_any_delivery_order_matches_the_reference_history);
    CPPUNIT_TEST(snapshot_of_rows_equals_the_original);
    CPPUNIT_TEST(snapshot_unreadable_rows_are_all_named);
    CPPUNIT_TEST(snapshot_deleted_objects_are_not_found);
    CPPUNIT_TEST(snapshot_open_work_needs_an_open_queue);
    CPPUNIT_TEST(snapshot_check_reports_dangling_references);
    CPPUNIT_TEST(snapshot_check_limits_the_number_of_objects);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a configuration that reverts, or differs between daemons,
    // when tickets arrive late, duplicated or out of order.
    void snapshot_any_delivery_order_matches_the_reference_history()
    {
        CPPUNIT_ASSERT(rc::check(
            "snapshots equal the reference history",
            []
            {
                const auto log = *rc::gen::container<std::vector<ticket>>(
                    *rc::gen::inRange<std::size_t>(1, 12), arbitrary_ticket());
                const auto order =
                    *rc::gen::container<std::vector<std::size_t>>(
                        2 * log.size(),
                        rc::gen::inRange<std::size_t>(0, log.size()));
                snapshot::pointer current = snapshot::empty();
                reference_history reference;
                for (const std::size_t at : order)
                {
                    const auto before = contents(*current);
                    const std::uint64_t sequence = current->sequence();
                    const auto next = current->apply(log[at], at + 1);
                    RC_ASSERT(next.ok() == reference.apply(log[at], at + 1));
                    RC_ASSERT(contents(*current) == before);
                    if (next.ok())
                    {
                        current = *next;
                        RC_ASSERT(current->sequence() > sequence);
                    }
                    else
                    {
                        RC_ASSERT(base::kind_of(next.status()) ==
                                  base::error_kind::ticket_superseded);
                    }
                    RC_ASSERT(current->sequence() == reference.sequence());
                    const auto rows = contents(*current);
                    RC_ASSERT(rows.size() == reference.size());
                    for (const ticket_object& object : log[at].objects)
                    {
                        const auto found = rows.find(
                            row_key(kind_name(object), name_of(object)));
                        RC_ASSERT((found == rows.end() ? "" : found->second) ==
                                  reference.state_of(object));
                    }
                }
            }));
    }

    // Guards against a daemon whose configuration changes across a restart.
    void snapshot_of_rows_equals_the_original()
    {
        CPPUNIT_ASSERT(
            rc::check("rows are read back in any order",
                      []
                      {
                          snapshot::pointer current = snapshot::empty();
                          for (std::uint64_t i = 1; i < 5; ++i)
                          {
                              ticket change = *arbitrary_ticket();
                              change.number = i;
                              current = *current->apply(change, i);
                          }
                          std::vector<object_row> rows = current->rows();
                          std::reverse(rows.begin(), rows.end());
                          const auto read = snapshot::from_rows(4, rows);
                          RC_ASSERT(read.ok());
                          RC_ASSERT((*read)->sequence() == 4);
                          RC_ASSERT(contents(**read) == contents(*current));
                      }));
    }

    // Guards against a damaged row that is skipped silently, which could bring
    // back a withdrawn key.
    void snapshot_unreadable_rows_are_all_named()
    {
        const object_row valid_row = make_row(1, active_team("t"));
        const std::vector<object_row> rows = {
            valid_row,
            {"team", "truncated", valid_row.json.substr(0, 20)},
            {"team", "renamed", valid_row.json},
            {"queue", "t", valid_row.json},
            {"team", "no-ticket", R"({"object":{}})"},
            {"team", "no-object", R"({"ticket":1})"},
            {"team", "negative", R"({"ticket":-1,"object":{}})"},
        };
        const auto read = snapshot::from_rows(1, rows);
        CPPUNIT_ASSERT(!read.ok());
        const std::string message(read.status().message());
        for (std::size_t i = 1; i < rows.size(); ++i)
        {
            CPPUNIT_ASSERT_MESSAGE(
                message, message.find(row_key(rows[i].kind, rows[i].name)) !=
                             std::string::npos);
        }
        CPPUNIT_ASSERT(message.find("config/object/team/t:") ==
                       std::string::npos);
    }

    // Guards against accepting work for a deleted team or workload.
    void snapshot_deleted_objects_are_not_found()
    {
        auto value = applied(snapshot::empty(),
                             {active_team("t"), active_team("a"),
                              open_workload(""), queue{"q", true, false}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, value->teams().size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), value->teams()[0]->name.text());
        CPPUNIT_ASSERT(value->find_workload(base::workload_id("w")) != nullptr);
        team deleted_team = active_team("t");
        deleted_team.deleted = true;
        workload deleted_workload = open_workload("");
        deleted_workload.deleted = true;
        value = applied(
            value, {deleted_team, deleted_workload, queue{"q", true, true}});
        CPPUNIT_ASSERT(value->find_team(base::team_id("t")) == nullptr);
        CPPUNIT_ASSERT(value->find_workload(base::workload_id("w")) == nullptr);
        CPPUNIT_ASSERT(value->find_queue("q") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, value->teams().size());
        CPPUNIT_ASSERT(value->workloads().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, value->rows().size());
    }

    // Guards against accepting work without a key after its queue was closed.
    void snapshot_open_work_needs_an_open_queue()
    {
        auto value = applied(snapshot::empty(), {active_team("t")});
        CPPUNIT_ASSERT(value->is_open(open_workload("")));
        CPPUNIT_ASSERT(!value->is_open(open_workload("q")));
        value = applied(value, {queue{"q", true, false}});
        CPPUNIT_ASSERT(value->is_open(open_workload("q")));
        workload keyed = open_workload("q");
        keyed.open = false;
        CPPUNIT_ASSERT(!value->is_open(keyed));
        CPPUNIT_ASSERT(!keyed.accepts(base::team_id("u")));
        CPPUNIT_ASSERT(keyed.accepts(base::team_id("t")));
        value = applied(value, {queue{"q", false, false}});
        CPPUNIT_ASSERT(!value->is_open(open_workload("q")));
        value = applied(value, {queue{"q", true, true}});
        CPPUNIT_ASSERT(!value->is_open(open_workload("q")));
        service keyed_service;
        keyed_service.teams = {base::team_id("a"), base::team_id("t")};
        CPPUNIT_ASSERT(!value->is_open(keyed_service));
        CPPUNIT_ASSERT(keyed_service.accepts(base::team_id("t")));
        CPPUNIT_ASSERT(!keyed_service.accepts(base::team_id("b")));
    }

    // Guards against a ticket that refers to a missing object, or deletes one
    // that others refer to.
    void snapshot_check_reports_dangling_references()
    {
        service keyed;
        keyed.name = base::service_id("s");
        keyed.teams = {base::team_id("t"), base::team_id("u")};
        const ticket broken = ticket_of(
            1,
            {active_team("t"),
             team_key{"k", base::team_id("x"), "", "", key_state::granted},
             team_key{"old", base::team_id("x"), "", "", key_state::withdrawn},
             open_workload("q"), keyed});
        const absl::Status status = snapshot::empty()->check_ticket(broken);
        CPPUNIT_ASSERT(base::kind_of(status) ==
                       base::error_kind::invalid_ticket);
        CPPUNIT_ASSERT_EQUAL(
            std::string("key \"k\".team: there is no team \"x\"\n"
                        "workload \"w\".queue: there is no queue \"q\"\n"
                        "service \"s\".teams: there is no team \"u\""),
            std::string(status.message()));

        const auto value =
            applied(snapshot::empty(), {active_team("t"), active_team("u"),
                                        open_workload(""), keyed});
        team deleted_team = active_team("t");
        deleted_team.deleted = true;
        const std::string message(
            value->check_ticket(ticket_of(2, {deleted_team})).message());
        CPPUNIT_ASSERT_EQUAL(
            std::string("team \"t\".deleted: the team is still named by "
                        "workload \"w\"\n"
                        "team \"t\".deleted: the team is still named by "
                        "service \"s\""),
            message);
        workload deleted_workload = open_workload("");
        deleted_workload.deleted = true;
        keyed.deleted = true;
        CPPUNIT_ASSERT(value
                           ->check_ticket(ticket_of(
                               2, {deleted_team, deleted_workload, keyed}))
                           .ok());
    }

    // Guards against unbounded growth of the configuration.
    void snapshot_check_limits_the_number_of_objects()
    {
        std::vector<object_row> rows;
        for (std::size_t i = 0; i < snapshot::max_objects; ++i)
        {
            rows.push_back(
                make_row(1, queue{"q" + std::to_string(i), true, false}));
        }
        const auto full = snapshot::from_rows(1, rows);
        CPPUNIT_ASSERT(full.ok());
        CPPUNIT_ASSERT(
            (*full)
                ->check_ticket(ticket_of(2, {queue{"q0", false, false}}))
                .ok());
        const absl::Status status =
            (*full)->check_ticket(ticket_of(2, {queue{"r", true, false}}));
        CPPUNIT_ASSERT(status.message().find("at most 50000") !=
                       absl::string_view::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(snapshot_test);

} // namespace coltsfootrack::config
