// Tests of tickets: malformed ones must be refused with the path of the field,
// and valid ones must be unchanged after serialization and parsing.

#include "generators.hpp"
#include "malformed_case.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/snapshot.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace coltsfootrack::config
{
namespace
{

const std::string valid_ticket = R"({
    "number": 7, "author": "an operator",
    "objects": [
        {"type": "team", "name": "t1", "weight": 3,
         "limit": {"cpu_milli": 9, "memory_mb": 8, "accelerators": 0}},
        {"type": "key", "name": "k1", "team": "t1", "state": "granted",
         "salt": "0123456789abcdef0123456789abcdef",
         "hash": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"},
        {"type": "workload", "name": "w1", "team": "t1", "kind": "batch",
         "per_task": {"cpu_milli": 1, "memory_mb": 2, "accelerators": 3},
         "tasks": 4, "run_ms": 5000, "exclusive": true},
        {"type": "service", "name": "s1", "teams": ["t1", "t0"],
         "idempotent": false, "timeout_ms": 250, "body_limit_bytes": 64},
        {"type": "queue", "name": "q1", "open": true}
    ]
})";

const std::vector<malformed_case>& malformed_cases()
{
    static const std::vector<malformed_case> table = {
        {R"("number": 7, )", "", "number: the field is missing"},
        {"7", "0", "number: must be an integer from 1"},
        {"7", "-7", "number: must be an integer from 1"},
        {"7", "1000000000000001", "number: must be an integer"},
        {"7", R"("7")", "number: must be an integer"},
        {R"("an operator")", R"("")", "author: must be a string"},
        {R"("an operator")", R"("a\nb")", "author: must be a string"},
        {R"("an operator")", '"' + std::string(101, 'a') + '"', "author: must"},
        {R"("author")", R"("autor")",
         "autor: unknown field; the nearest known "
         "one is \"author\""},
        {R"("team", "name")", R"("teem", "name")",
         "objects[0].type: must be one of \"team\", \"key\", \"workload\", "
         "\"service\", \"queue\"; the nearest is \"team\""},
        {R"("type": "team", )", "", "objects[0].type: the field is missing"},
        {R"({"type": "team")", R"(null, {"type": "team")",
         "objects[0]: must be an object"},
        {R"("name": "t1", )", "", "objects[0].name: the field is missing"},
        {R"("t1", "weight")", R"("a/b", "weight")", "objects[0].name: must be"},
        {R"("weight": 3,)", "", "objects[0].weight: the field is missing"},
        {R"("weight": 3)", R"("weight": 0)", "objects[0].weight: must be"},
        {R"("weight": 3)", R"("weight": 1000001)", "objects[0].weight: must"},
        {R"("cpu_milli": 9)", R"("cpu_milli": -9)",
         "objects[0].limit.cpu_milli: must be an integer from 0"},
        {R"("memory_mb": 8, )", "",
         "objects[0].limit.memory_mb: the field is missing"},
        {R"("accelerators": 0})", R"("accelerators": 0, "gpus": 1})",
         "objects[0].limit.gpus: unknown field"},
        {R"("accelerators": 0}})", R"("accelerators": 0}, "deleted": 1})",
         "objects[0].deleted: must be true or false"},
        {R"("granted")", R"("revoked")",
         "objects[1].state: must be one of \"granted\", \"withdrawn\""},
        {R"("state": "granted",)", "",
         "objects[1].state: the field is missing"},
        {R"("0123456789abcdef0123456789abcdef",)", R"("0123",)",
         "objects[1].salt: must be 32 lower-case hexadecimal digits"},
        {R"("hash": "0)", R"("hash": "G)",
         "objects[1].hash: must be 64 lower-case hexadecimal digits"},
        {R"("salt")", R"("plain")", "objects[1].plain: unknown field"},
        {R"("batch")", R"("bach")", "the nearest is \"batch\""},
        {R"("cpu_milli": 1,)", R"("cpu_milli": 0,)",
         "objects[2].per_task.cpu_milli: must be an integer from 1"},
        {R"("accelerators": 3)", R"("accelerators": -1)",
         "objects[2].per_task.accelerators: must be an integer from 0"},
        {R"("tasks": 4)", R"("tasks": 10001)", "objects[2].tasks: must be"},
        {R"("run_ms": 5000, )", "", "objects[2].run_ms: the field is missing"},
        {R"("run_ms": 5000)", R"("run_ms": 0)", "objects[2].run_ms: must be"},
        {R"("exclusive": true)", R"("exclusive": "yes")",
         "objects[2].exclusive: must be true or false"},
        {R"("exclusive": true)", R"("queue": "")", "objects[2].queue: must be"},
        {R"("teams": ["t1", "t0"],)", "", "objects[3].teams: a service has"},
        {R"(["t1", "t0"])", "[]", "objects[3].teams: must name at least one"},
        {R"(["t1", "t0"])", R"(["t1", "t1"])", "objects[3].teams[1]: the team"},
        {R"(["t1", "t0"])", R"([7])", "objects[3].teams[0]: must be the name"},
        {R"(["t1", "t0"])", R"("t1")", "objects[3].teams: must be an array"},
        {R"(["t1", "t0"],)", R"(["t1"], "open": true,)",
         "objects[3].teams: a service has"},
        {R"("idempotent": false, )", "",
         "objects[3].idempotent: the field is missing"},
        {"250", "600001", "objects[3].timeout_ms: must be an integer"},
        {"64}", "-64}", "objects[3].body_limit_bytes: must be an integer"},
        {R"(, "open": true)", "", "objects[4].open: the field is missing"},
        {R"({"type": "queue")",
         R"({"type": "queue", "name": "q1", "open": false}, {"type": "queue")",
         "objects[5].name: the queue \"q1\" occurs twice"},
        {R"("name": "q1",)", R"("name": "q1", "name": "q2",)",
         "objects[4].name: the field occurs twice"},
        {valid_ticket, R"({"number": 7, "author": "a", "objects": []})",
         "objects: must hold at least one object"},
        {valid_ticket, R"({"number": 7, "author": "a", "objects": {}})",
         "objects: must be an array"},
        {valid_ticket, "", "ends too early"},
        {valid_ticket, "\xff", "not valid JSON"},
        {valid_ticket, std::string(max_ticket_bytes, '['), "ends too early"},
        {valid_ticket, std::string(max_ticket_bytes + 1, '['), "the text has"},
    };
    return table;
}

} // namespace

class ticket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ticket_test);
    CPPUNIT_TEST(ticket_each_malformed_text_is_refused_by_path);
    CPPUNIT_TEST(ticket_several_errors_are_reported_together);
    CPPUNIT_TEST(ticket_many_errors_are_bounded);
    CPPUNIT_TEST(ticket_too_many_objects_are_refused);
    CPPUNIT_TEST(ticket_truncated_anywhere_is_refused);
    CPPUNIT_TEST(ticket_damaged_anywhere_is_refused_or_complete);
    CPPUNIT_TEST(ticket_refused_value_is_not_quoted);
    CPPUNIT_TEST(ticket_canonical_text_is_read_back);
    CPPUNIT_TEST(ticket_hash_ignores_order_and_layout_only);
    CPPUNIT_TEST(ticket_largest_stays_under_commit_bounds);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong value that is accepted, or refused without the
    // path of its field.
    void ticket_each_malformed_text_is_refused_by_path()
    {
        CPPUNIT_ASSERT(parse_ticket(valid_ticket).ok());
        for (const malformed_case& each : malformed_cases())
        {
            const std::string text = each.applied_to(valid_ticket);
            CPPUNIT_ASSERT_MESSAGE("nothing replaced: " + each.from,
                                   text != valid_ticket);
            const absl::Status status = parse_ticket(text).status();
            CPPUNIT_ASSERT_MESSAGE("accepted: " + each.expected, !status.ok());
            CPPUNIT_ASSERT(base::kind_of(status) ==
                           base::error_kind::invalid_ticket);
            const std::string message(status.message());
            CPPUNIT_ASSERT_MESSAGE(each.expected + " in " + message,
                                   message.find(each.expected) !=
                                       std::string::npos);
        }
    }

    // Guards against reporting only the first of several errors.
    void ticket_several_errors_are_reported_together()
    {
        const std::string message(
            parse_ticket(
                R"({"numbr": 1, "objects": [{"type": "team", "name": "t"},
                    {"type": "queue", "open": 1}, 7]})")
                .status()
                .message());
        for (const char* path :
             {"number: ", "numbr: ", "author: ", "objects[0].weight: ",
              "objects[0].limit: ", "objects[1].name: ", "objects[1].open: ",
              "objects[2]: "})
        {
            CPPUNIT_ASSERT_MESSAGE(message,
                                   message.find(path) != std::string::npos);
        }
    }

    // Guards against an error message that grows with the ticket.
    void ticket_many_errors_are_bounded()
    {
        std::string objects = "0";
        for (int i = 1; i < 400; ++i)
        {
            objects += ",0";
        }
        const std::string message(
            parse_ticket(R"({"number": 1, "author": "a", "objects": [)" +
                         objects + "]}")
                .status()
                .message());
        CPPUNIT_ASSERT(message.find("300 more errors") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{100},
                             std::count(message.begin(), message.end(), '\n'));
    }

    // Guards against a ticket that does not fit into one commit.
    void ticket_too_many_objects_are_refused()
    {
        std::string objects = "0";
        for (std::size_t i = 0; i < max_ticket_objects; ++i)
        {
            objects += ",0";
        }
        const std::string message(
            parse_ticket(R"({"objects": [)" + objects + "]}")
                .status()
                .message());
        CPPUNIT_ASSERT(message.find("objects: must be an array of at most "
                                    "400") != std::string::npos);
    }

    // Guards against a ticket that was truncated in transit.
    void ticket_truncated_anywhere_is_refused()
    {
        for (std::size_t size = 0; size < valid_ticket.size(); ++size)
        {
            CPPUNIT_ASSERT(!parse_ticket(valid_ticket.substr(0, size)).ok());
        }
    }

    // Guards against a damaged text that crashes the daemon, or that is
    // accepted with a part of its content lost.
    void ticket_damaged_anywhere_is_refused_or_complete()
    {
        CPPUNIT_ASSERT(rc::check(
            "a damaged ticket is refused or read back",
            []
            {
                std::string text = valid_ticket;
                const auto edits = *rc::gen::container<
                    std::vector<std::pair<std::size_t, char>>>(
                    *rc::gen::inRange<std::size_t>(1, 4),
                    rc::gen::pair(
                        rc::gen::inRange<std::size_t>(0, valid_ticket.size()),
                        rc::gen::element('"', '{', '}', '[', ']', ',', ':', '0',
                                         '-', '.', 'e', '/', ' ', '\\', '\n',
                                         '\0', '\xc3')));
                for (const auto& [at, replacement] : edits)
                {
                    text[at] = replacement;
                }
                const auto read = parse_ticket(text);
                if (!read.ok())
                {
                    RC_ASSERT(!read.status().message().empty());
                    return;
                }
                RC_ASSERT(read->objects.size() == 5U);
                const auto same = parse_ticket(canonical_json(*read));
                RC_ASSERT(same.ok());
                RC_ASSERT(*same == *read);
            }));
    }

    // Guards against a secret that reaches logs after it was pasted into the
    // wrong field.
    void ticket_refused_value_is_not_quoted()
    {
        const std::string secret =
            "k1.5ecre75ecre75ecre75ecre75ecre75ecre75ecre7";
        const std::vector<malformed_case> cases = {
            {"t1", secret, ""},
            {"granted", secret, ""},
            {R"("weight")", '"' + secret + '"', ""},
            {"0123", secret, ""},
            {"250", '"' + secret + '"', ""},
            {"250", secret, ""},
        };
        for (const malformed_case& each : cases)
        {
            const absl::Status status =
                parse_ticket(each.applied_to(valid_ticket)).status();
            CPPUNIT_ASSERT(!status.ok());
            CPPUNIT_ASSERT(std::string(status.message()).find("5ecre7") ==
                           std::string::npos);
        }
    }

    // Guards against a field that is lost or changed when it is stored in the
    // table.
    void ticket_canonical_text_is_read_back()
    {
        CPPUNIT_ASSERT(rc::check(
            "a ticket is read back",
            []
            {
                const ticket value = *arbitrary_ticket();
                const auto read = parse_ticket(canonical_json(value));
                RC_ASSERT(read.ok());
                RC_ASSERT(*read == value);
                for (const ticket_object& object : value.objects)
                {
                    const auto same = parse_object(canonical_json(object));
                    RC_ASSERT(same.ok());
                    RC_ASSERT(*same == object);
                }
            }));
    }

    // Guards against a retry of a ticket that is taken for a conflict, and a
    // conflict that is taken for a retry.
    void ticket_hash_ignores_order_and_layout_only()
    {
        CPPUNIT_ASSERT(rc::check(
            "the hash depends on the content alone",
            []
            {
                const ticket value = *arbitrary_ticket();
                ticket reversed = value;
                std::reverse(reversed.objects.begin(), reversed.objects.end());
                RC_ASSERT(content_hash(value) == content_hash(reversed));
                const auto spaced =
                    parse_ticket("// c\n " + canonical_json(value) + "\n");
                RC_ASSERT(spaced.ok());
                RC_ASSERT(content_hash(*spaced) == content_hash(value));
                const ticket other = *arbitrary_ticket();
                RC_ASSERT((content_hash(other) == content_hash(value)) ==
                          (other == value));
            }));
    }

    // Guards against an accepted ticket that the table then refuses: 500
    // writes and 1 MiB for log, head, ticket, session and object rows.
    void ticket_largest_stays_under_commit_bounds()
    {
        // Workloads without optional fields grow most when all fields are
        // written.
        std::string text = R"({"number":1,"author":"a","objects":[)";
        for (std::size_t i = 0; i < max_ticket_objects; ++i)
        {
            text += (i == 0 ? "" : ",") +
                    (R"({"type":"workload","name":"w)" + std::to_string(i) +
                     R"(","team":"t","kind":"service","tasks":1,"per_task":)" +
                     R"({"cpu_milli":1,"memory_mb":1,"accelerators":0}})");
        }
        text += "]}";
        const auto value = parse_ticket(text);
        CPPUNIT_ASSERT(value.ok());
        const std::size_t growth = canonical_json(*value).size() - text.size();
        std::size_t row_overhead = 0;
        for (const ticket_object& object : value->objects)
        {
            const object_row row = make_row(max_ticket_number, object);
            row_overhead += row.json.size() - canonical_json(object).size() +
                            row_key(row.kind, row.name).size() + 64;
        }
        CPPUNIT_ASSERT(2 * (max_ticket_bytes + growth) + row_overhead <
                       std::size_t{1} << 20U);
        CPPUNIT_ASSERT(max_ticket_objects + 4 <= 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_test);

} // namespace coltsfootrack::config
