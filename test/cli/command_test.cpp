// Tests of the commands: what they send, print and return.

#include "fake_world.hpp"

#include <coltsfootrack/config/ticket.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::cli
{
namespace
{

const std::string good_ticket =
    R"({"number": 7, "author": "a", // comment
        "objects": [{"type": "queue", "name": "q", "open": true}]})";

const std::vector<std::string> all_commands = {
    "ticket check", "ticket apply", "ticket show", "key create",
    "job submit",   "job status",   "job cancel",  "job explain",
    "status",       "drain",        "version"};

std::vector<std::string> words_of(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> result;
    for (std::string word; stream >> word;)
    {
        result.push_back(word);
    }
    return result;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class command_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_test);
    CPPUNIT_TEST(command_each_has_help);
    CPPUNIT_TEST(command_line_that_is_wrong_gives_status_2);
    CPPUNIT_TEST(ticket_wrong_is_never_sent);
    CPPUNIT_TEST(ticket_apply_sends_canonical_text);
    CPPUNIT_TEST(ticket_check_without_server_checks_form);
    CPPUNIT_TEST(ticket_show_sends_number);
    CPPUNIT_TEST(key_create_prints_matching_object);
    CPPUNIT_TEST(job_submit_sends_key_and_tasks);
    CPPUNIT_TEST(job_commands_send_method_and_path);
    CPPUNIT_TEST(job_key_comes_from_file_or_variable);
    CPPUNIT_TEST(drain_never_reaches_a_second_daemon);
    CPPUNIT_TEST(error_exit_status_is_that_of_the_table);
    CPPUNIT_TEST(answer_is_printed_as_table);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a command without help, or help that needs a daemon.
    void command_each_has_help()
    {
        fake_world world;
        CPPUNIT_ASSERT_EQUAL(0, world.run({"--help"}));
        const std::string list = world.out.str();
        for (const std::string& name : all_commands)
        {
            CPPUNIT_ASSERT_MESSAGE(name, contains(list, "\n  " + name));
            std::vector<std::string> words = words_of(name);
            words.emplace_back("--help");
            CPPUNIT_ASSERT_EQUAL(0, world.run(words));
            CPPUNIT_ASSERT(
                contains(world.out.str(), "Usage: coltsfootrack " + name));
            CPPUNIT_ASSERT(world.sent.empty());
            CPPUNIT_ASSERT(world.err.str().empty());
        }
        CPPUNIT_ASSERT_EQUAL(0, world.run({"ticket", "--help"}));
        CPPUNIT_ASSERT(!contains(world.out.str(), "job"));
    }

    // Guards against a mistyped command line that does something.
    void command_line_that_is_wrong_gives_status_2()
    {
        const std::vector<std::string> lines = {
            "",
            "tickets",
            "ticket",
            "ticket frob --help",
            "ticket apply --server 10.0.0.1:1",
            "ticket apply a b --server 10.0.0.1:1",
            "ticket show x --server 10.0.0.1:1",
            "ticket show 0 --server 10.0.0.1:1",
            "ticket show -- -1",
            "ticket show 99999999999999999999 --server 10.0.0.1:1",
            "job status ../status --server 10.0.0.1:1",
            "job status .. --server 10.0.0.1:1",
            "job submit a/b --server 10.0.0.1:1",
            "job submit w --tasks 0 --server 10.0.0.1:1",
            "job submit w --tasks 5x --server 10.0.0.1:1",
            "job submit w --idempotency-key a/b --server 10.0.0.1:1",
            "job submit w --key-file none --server 10.0.0.1:1",
            "status",
            "status --server localhost:1",
            "status --server 10.0.0.1",
            "status --server",
            "status --unknown --server 10.0.0.1:1",
            "status --json=yes --server 10.0.0.1:1",
            "status --tasks 1 --server 10.0.0.1:1",
            "status --timeout 0 --server 10.0.0.1:1",
            "status --timeout 601 --server 10.0.0.1:1",
            "status -x --server 10.0.0.1:1",
            "key create",
            "key create --team t --id a.b",
            "key create --team T --id a",
        };
        fake_world world;
        for (const std::string& line : lines)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 2, world.run(words_of(line)));
            CPPUNIT_ASSERT_MESSAGE(line, world.sent.empty());
            CPPUNIT_ASSERT_MESSAGE(line, world.out.str().empty());
            CPPUNIT_ASSERT_MESSAGE(line, contains(world.err.str(), "Advice: "));
        }
    }

    // Guards against a wrong ticket that reaches a daemon.
    void ticket_wrong_is_never_sent()
    {
        fake_world world;
        world.files["t"] = R"({"number": 0, "objects": 1})";
        for (const char* verb : {"check", "apply"})
        {
            CPPUNIT_ASSERT_EQUAL(
                2, world.run({"ticket", verb, "t", "--server", "10.0.0.1:1"}));
            CPPUNIT_ASSERT(world.sent.empty());
            for (const char* part :
                 {"invalid_ticket", "number: ", "author: ", "objects: "})
            {
                CPPUNIT_ASSERT(contains(world.err.str(), part));
            }
        }
    }

    // Guards against a ticket that is changed on its way.
    void ticket_apply_sends_canonical_text()
    {
        fake_world world;
        world.files["t"] = good_ticket;
        world.answers["10.0.0.1:1"] =
            fake_world::answer({{"sequence", 12}, {"state", "committed"}});
        CPPUNIT_ASSERT_EQUAL(
            0, world.run({"ticket", "apply", "t", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.sent.size());
        const http::request& message = world.sent[0].second;
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), message.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets"), message.path);
        const auto expected = config::parse_ticket(good_ticket);
        CPPUNIT_ASSERT_EQUAL(config::canonical_json(*expected), message.body);
        CPPUNIT_ASSERT(contains(world.out.str(), "answer.sequence  12\n"));
    }

    // Guards against a check that claims more than it did.
    void ticket_check_without_server_checks_form()
    {
        fake_world world;
        world.files["-"] = good_ticket;
        CPPUNIT_ASSERT_EQUAL(0, world.run({"ticket", "check", "-", "--json"}));
        CPPUNIT_ASSERT(contains(world.out.str(), R"("checked":"form")"));
        CPPUNIT_ASSERT(world.sent.empty());
        world.answers["10.0.0.1:1"] = fake_world::answer({{"ok", true}});
        CPPUNIT_ASSERT_EQUAL(0, world.run({"ticket", "check", "-", "--json",
                                           "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT(contains(world.out.str(), "configuration in force"));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets/check"),
                             world.sent.at(0).second.path);
    }

    // Guards against a wrong path for a ticket.
    void ticket_show_sends_number()
    {
        fake_world world;
        world.answers["10.0.0.1:1"] = fake_world::answer({{"number", 7}});
        CPPUNIT_ASSERT_EQUAL(
            0, world.run({"ticket", "show", "7", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets/7"),
                             world.sent.at(0).second.path);
        CPPUNIT_ASSERT_EQUAL(std::string("number  7\n"), world.out.str());
    }

    // Guards against a printed object that does not fit into a ticket or holds
    // the secret.
    void key_create_prints_matching_object()
    {
        fake_world world;
        CPPUNIT_ASSERT_EQUAL(0, world.run({"key", "create", "--team", "t",
                                           "--id", "k", "--json"}));
        const auto result = nlohmann::json::parse(world.out.str());
        const auto key = result["key"].get<std::string>();
        CPPUNIT_ASSERT_EQUAL(std::string("k."), key.substr(0, 2));
        const std::string object = result["object"].dump();
        CPPUNIT_ASSERT(
            config::parse_ticket(
                R"({"number": 1, "author": "a", "objects": [)" + object + "]}")
                .ok());
        CPPUNIT_ASSERT(!contains(object, key.substr(2)));
        CPPUNIT_ASSERT(world.err.str().empty());
    }

    // Guards against a submission without its key, count or idempotency key.
    void job_submit_sends_key_and_tasks()
    {
        fake_world world;
        world.variables["COLTSFOOTRACK_KEY"] = "k.secret\n";
        world.answers["10.0.0.1:1"] = fake_world::answer({{"job", "j1"}});
        CPPUNIT_ASSERT_EQUAL(0, world.run({"job", "submit", "w", "--tasks", "3",
                                           "--server", "10.0.0.1:1"}));
        const http::request& message = world.sent.at(0).second;
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/jobs"), message.path);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"tasks":3,"workload":"w"})"),
                             message.body);
        CPPUNIT_ASSERT(message.headers.value("X-Team-Key") == "k.secret");
        CPPUNIT_ASSERT_EQUAL(std::size_t{32},
                             message.headers.value("Idempotency-Key").size());
        CPPUNIT_ASSERT_EQUAL(
            0, world.run({"job", "submit", "w", "--idempotency-key", "mine",
                          "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT(
            world.sent.at(0).second.headers.value("Idempotency-Key") == "mine");
    }

    // Guards against a wrong method or path, and against a key that was not
    // given.
    void job_commands_send_method_and_path()
    {
        fake_world world;
        world.answers["10.0.0.1:1"] = fake_world::answer({{"state", "x"}});
        const std::vector<std::vector<std::string>> rows = {
            {"status", "GET", "/v1/jobs/j-1.a"},
            {"cancel", "DELETE", "/v1/jobs/j-1.a"},
            {"explain", "GET", "/v1/jobs/j-1.a/explain"}};
        for (const auto& row : rows)
        {
            CPPUNIT_ASSERT_EQUAL(0, world.run({"job", row[0], "j-1.a",
                                               "--server", "10.0.0.1:1"}));
            CPPUNIT_ASSERT_EQUAL(row[1], world.sent.at(0).second.method);
            CPPUNIT_ASSERT_EQUAL(row[2], world.sent.at(0).second.path);
            CPPUNIT_ASSERT(
                !world.sent.at(0).second.headers.contains("X-Team-Key"));
        }
    }

    // Guards against a wrong key, and one that adds a header.
    void job_key_comes_from_file_or_variable()
    {
        fake_world world;
        world.variables["COLTSFOOTRACK_KEY"] = "k.variable";
        world.files["key"] = " k.file \r\n";
        world.files["two"] = "k.file\r\nX-Other: 1";
        world.files["long"] = std::string(257, 'a');
        world.answers["10.0.0.1:1"] = fake_world::answer({{"state", "x"}});
        const auto run_with = [&world](const char* file)
        {
            return world.run({"job", "status", "j", "--server", "10.0.0.1:1",
                              "--key-file", file});
        };
        CPPUNIT_ASSERT_EQUAL(0, run_with("key"));
        CPPUNIT_ASSERT(world.sent.at(0).second.headers.value("X-Team-Key") ==
                       "k.file");
        CPPUNIT_ASSERT_EQUAL(2, run_with("two"));
        CPPUNIT_ASSERT(world.sent.empty());
        CPPUNIT_ASSERT_EQUAL(2, run_with("long"));
        CPPUNIT_ASSERT(world.sent.empty());
    }

    // Guards against the drain of another daemon than the one that was meant.
    void drain_never_reaches_a_second_daemon()
    {
        fake_world world;
        world.answers["10.0.0.2:1"] = fake_world::answer({{"draining", true}});
        CPPUNIT_ASSERT_EQUAL(2, world.run({"drain", "--server", "10.0.0.1:1",
                                           "--server", "10.0.0.2:1"}));
        CPPUNIT_ASSERT(world.sent.empty());
        CPPUNIT_ASSERT_EQUAL(0, world.run({"drain", "--server", "10.0.0.2:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/drain"),
                             world.sent.at(0).second.path);
    }

    // Guards against a script that cannot tell the errors apart.
    void error_exit_status_is_that_of_the_table()
    {
        fake_world world;
        for (const base::error_answer& row : base::error_answers())
        {
            world.answers["10.0.0.1:1"] = fake_world::refusal(row.kind);
            CPPUNIT_ASSERT_EQUAL(
                row.exit_code, world.run({"status", "--server", "10.0.0.1:1"}));
            const std::string text = world.err.str();
            const std::string tail =
                "Advice: " + std::string(row.advice) + "\n";
            CPPUNIT_ASSERT(contains(text, std::string(row.name)));
            CPPUNIT_ASSERT(contains(text, "the detail"));
            CPPUNIT_ASSERT(text.size() >= tail.size() &&
                           text.substr(text.size() - tail.size()) == tail);
            CPPUNIT_ASSERT_EQUAL(
                row.exit_code,
                world.run({"status", "--server", "10.0.0.1:1", "--json"}));
            const auto body = nlohmann::json::parse(world.err.str());
            CPPUNIT_ASSERT(body["error"] == std::string(row.name));
            CPPUNIT_ASSERT(body["advice"] == std::string(row.advice));
            CPPUNIT_ASSERT(world.out.str().empty());
        }
    }

    // Guards against a table that loses values, or an answer that steers the
    // terminal.
    void answer_is_printed_as_table()
    {
        fake_world world;
        world.answers["10.0.0.1:1"] =
            fake_world::answer({{"daemon", "e\x1b[2J1"},
                                {"owner", {{"epoch", 3}, {"acting", true}}},
                                {"zones", nlohmann::json::array({"a", "b"})},
                                {"workers",
                                 {{{"id", "w1"}, {"cpu_milli", 32000}},
                                  {{"id", "w10"}, {"state", "leaving"}}}}});
        CPPUNIT_ASSERT_EQUAL(0,
                             world.run({"status", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("daemon        e [2J1\n"
                                         "owner.acting  yes\n"
                                         "owner.epoch   3\n"
                                         "zones         a, b\n"
                                         "\n"
                                         "workers\n"
                                         "id   cpu_milli  state\n"
                                         "w1   32000      -\n"
                                         "w10  -          leaving\n"),
                             world.out.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_test);

} // namespace coltsfootrack::cli
