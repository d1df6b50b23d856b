// Tests of the detection of conflicting, superseded and repeated tickets.

#include "generators.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/snapshot.hpp>
#include <coltsfootrack/config/ticket_order.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <string>

namespace coltsfootrack::config
{

class ticket_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ticket_order_test);
    CPPUNIT_TEST(order_each_case_is_decided);
    CPPUNIT_TEST(order_concurrent_tickets_never_revert_an_object);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong decision in any case of check_ticket_order.
    void order_each_case_is_decided()
    {
        const ticket value = {
            5, "operator", {queue{"a", true, false}, queue{"b", true, false}}};
        const std::string hash = content_hash(value);
        const auto check = [&value](const std::optional<std::string>& recorded,
                                    const std::vector<object_version>& rows)
        {
            return check_ticket_order(value, recorded, rows);
        };
        CPPUNIT_ASSERT(*check({}, {}) == ticket_order::commit);
        CPPUNIT_ASSERT(*check({}, {{"queue", "a", 0}, {"queue", "b", 4}}) ==
                       ticket_order::commit);
        // A version of an object that the ticket does not write is ignored.
        CPPUNIT_ASSERT(*check({}, {{"queue", "c", 9}, {"team", "a", 9}}) ==
                       ticket_order::commit);
        CPPUNIT_ASSERT(base::kind_of(check({}, {{"queue", "b", 6}}).status()) ==
                       base::error_kind::ticket_superseded);
        CPPUNIT_ASSERT(base::kind_of(check({}, {{"queue", "b", 5}}).status()) ==
                       base::error_kind::ticket_conflict);
        CPPUNIT_ASSERT(base::kind_of(check("other", {}).status()) ==
                       base::error_kind::ticket_conflict);
        // A retry succeeds even after newer tickets have written the objects.
        CPPUNIT_ASSERT(*check(hash, {{"queue", "a", 5}}) ==
                       ticket_order::already_committed);
        CPPUNIT_ASSERT(*check(hash, {{"queue", "a", 9}}) ==
                       ticket_order::already_committed);
    }

    // Guards against an older ticket that overwrites a newer one when
    // operators submit concurrently and retry.
    void order_concurrent_tickets_never_revert_an_object()
    {
        CPPUNIT_ASSERT(rc::check(
            "tickets in order never revert an object",
            []
            {
                const auto tickets = *rc::gen::container<std::vector<ticket>>(
                    20, arbitrary_ticket());
                snapshot::pointer current = snapshot::empty();
                std::map<std::uint64_t, ticket> committed;
                for (const ticket& each : tickets)
                {
                    const auto known = committed.find(each.number);
                    const bool recorded = known != committed.end();
                    const auto versions = current->versions_of(each);
                    const auto order = check_ticket_order(
                        each,
                        recorded ? std::optional<std::string>(
                                       content_hash(known->second))
                                 : std::nullopt,
                        versions);
                    bool older = false;
                    for (const object_version& version : versions)
                    {
                        older = older || version.ticket_number > each.number;
                    }
                    if (recorded)
                    {
                        RC_ASSERT(order.ok() == (known->second == each));
                        continue;
                    }
                    RC_ASSERT(order.ok() == !older);
                    if (order.ok())
                    {
                        const auto next =
                            current->apply(each, current->sequence() + 1);
                        RC_ASSERT(next.ok());
                        current = *next;
                        committed.emplace(each.number, each);
                    }
                }
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_order_test);

} // namespace coltsfootrack::config
