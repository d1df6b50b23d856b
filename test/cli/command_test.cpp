// Tests of the commands: the requests, output and exit status of each.

#include "fake_environment.hpp"

#include <coltsfootrack/config/ticket.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace coltsfootrack::cli
{
namespace
{

const std::string valid_ticket =
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
    CPPUNIT_TEST(command_line_invalid_gives_status_2);
    CPPUNIT_TEST(ticket_invalid_is_never_sent);
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
        fake_environment fake;
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"--help"}));
        const std::string list = fake.out.str();
        for (const std::string& name : all_commands)
        {
            CPPUNIT_ASSERT_MESSAGE(name, contains(list, "\n  " + name));
            std::vector<std::string> words = words_of(name);
            words.emplace_back("--help");
            CPPUNIT_ASSERT_EQUAL(0, fake.run(words));
            CPPUNIT_ASSERT(
                contains(fake.out.str(), "Usage: coltsfootrack " + name));
            CPPUNIT_ASSERT(fake.sent.empty());
            CPPUNIT_ASSERT(fake.err.str().empty());
        }
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"ticket", "--help"}));
        CPPUNIT_ASSERT(!contains(fake.out.str(), "job"));
    }

    // Guards against a mistyped command line that has an effect.
    void command_line_invalid_gives_status_2()
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
        fake_environment fake;
        for (const std::string& line : lines)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, 2, fake.run(words_of(line)));
            CPPUNIT_ASSERT_MESSAGE(line, fake.sent.empty());
            CPPUNIT_ASSERT_MESSAGE(line, fake.out.str().empty());
            CPPUNIT_ASSERT_MESSAGE(line, contains(fake.err.str(), "Advice: "));
        }
    }

    // Guards against an invalid ticket that reaches a daemon.
    void ticket_invalid_is_never_sent()
    {
        fake_environment fake;
        fake.files["t"] = R"({"number": 0, "objects": 1})";
        for (const char* verb : {"check", "apply"})
        {
            CPPUNIT_ASSERT_EQUAL(
                2, fake.run({"ticket", verb, "t", "--server", "10.0.0.1:1"}));
            CPPUNIT_ASSERT(fake.sent.empty());
            for (const char* part :
                 {"invalid_ticket", "number: ", "author: ", "objects: "})
            {
                CPPUNIT_ASSERT(contains(fake.err.str(), part));
            }
        }
    }

    // Guards against a ticket that is altered before it is sent.
    void ticket_apply_sends_canonical_text()
    {
        fake_environment fake;
        fake.files["t"] = valid_ticket;
        fake.answers["10.0.0.1:1"] = fake_environment::answer(
            {{"sequence", 12}, {"state", "committed"}});
        CPPUNIT_ASSERT_EQUAL(
            0, fake.run({"ticket", "apply", "t", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fake.sent.size());
        const http::request& request = fake.sent[0].second;
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets"), request.path);
        const auto expected = config::parse_ticket(valid_ticket);
        CPPUNIT_ASSERT_EQUAL(config::canonical_json(*expected), request.body);
        CPPUNIT_ASSERT(contains(fake.out.str(), "answer.sequence  12\n"));
    }

    // Guards against a check without a daemon that reports a full check.
    void ticket_check_without_server_checks_form()
    {
        fake_environment fake;
        fake.files["-"] = valid_ticket;
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"ticket", "check", "-", "--json"}));
        CPPUNIT_ASSERT(contains(fake.out.str(), R"("checked":"form")"));
        CPPUNIT_ASSERT(fake.sent.empty());
        fake.answers["10.0.0.1:1"] = fake_environment::answer({{"ok", true}});
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"ticket", "check", "-", "--json",
                                          "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT(contains(fake.out.str(), "configuration in force"));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets/check"),
                             fake.sent.at(0).second.path);
    }

    // Guards against a wrong path in the request for a ticket.
    void ticket_show_sends_number()
    {
        fake_environment fake;
        fake.answers["10.0.0.1:1"] = fake_environment::answer({{"number", 7}});
        CPPUNIT_ASSERT_EQUAL(
            0, fake.run({"ticket", "show", "7", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/tickets/7"),
                             fake.sent.at(0).second.path);
        CPPUNIT_ASSERT_EQUAL(std::string("number  7\n"), fake.out.str());
    }

    // Guards against a printed object that does not fit into a ticket or holds
    // the secret.
    void key_create_prints_matching_object()
    {
        fake_environment fake;
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"key", "create", "--team", "t",
                                          "--id", "k", "--json"}));
        const auto result = nlohmann::json::parse(fake.out.str());
        const auto key = result["key"].get<std::string>();
        CPPUNIT_ASSERT_EQUAL(std::string("k."), key.substr(0, 2));
        const std::string object = result["object"].dump();
        CPPUNIT_ASSERT(
            config::parse_ticket(
                R"({"number": 1, "author": "a", "objects": [)" + object + "]}")
                .ok());
        CPPUNIT_ASSERT(!contains(object, key.substr(2)));
        CPPUNIT_ASSERT(fake.err.str().empty());
    }

    // Guards against a submission without its key, count or idempotency key.
    void job_submit_sends_key_and_tasks()
    {
        fake_environment fake;
        fake.variables["COLTSFOOTRACK_KEY"] = "k.secret\n";
        fake.answers["10.0.0.1:1"] = fake_environment::answer({{"job", "j1"}});
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"job", "submit", "w", "--tasks", "3",
                                          "--server", "10.0.0.1:1"}));
        const http::request& request = fake.sent.at(0).second;
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/jobs"), request.path);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"tasks":3,"workload":"w"})"),
                             request.body);
        CPPUNIT_ASSERT(request.headers.value("X-Team-Key") == "k.secret");
        CPPUNIT_ASSERT_EQUAL(std::size_t{32},
                             request.headers.value("Idempotency-Key").size());
        CPPUNIT_ASSERT_EQUAL(
            0, fake.run({"job", "submit", "w", "--idempotency-key", "mine",
                         "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT(
            fake.sent.at(0).second.headers.value("Idempotency-Key") == "mine");
    }

    // Guards against a wrong method or path, and against a key header without a
    // key.
    void job_commands_send_method_and_path()
    {
        fake_environment fake;
        fake.answers["10.0.0.1:1"] = fake_environment::answer({{"state", "x"}});
        const std::vector<std::vector<std::string>> rows = {
            {"status", "GET", "/v1/jobs/j-1.a"},
            {"cancel", "DELETE", "/v1/jobs/j-1.a"},
            {"explain", "GET", "/v1/jobs/j-1.a/explain"}};
        for (const auto& row : rows)
        {
            CPPUNIT_ASSERT_EQUAL(0, fake.run({"job", row[0], "j-1.a",
                                              "--server", "10.0.0.1:1"}));
            CPPUNIT_ASSERT_EQUAL(row[1], fake.sent.at(0).second.method);
            CPPUNIT_ASSERT_EQUAL(row[2], fake.sent.at(0).second.path);
            CPPUNIT_ASSERT(
                !fake.sent.at(0).second.headers.contains("X-Team-Key"));
        }
    }

    // Guards against the wrong key, and against header injection by a key.
    void job_key_comes_from_file_or_variable()
    {
        fake_environment fake;
        fake.variables["COLTSFOOTRACK_KEY"] = "k.variable";
        fake.files["key"] = " k.file \r\n";
        fake.files["two"] = "k.file\r\nX-Other: 1";
        fake.files["long"] = std::string(257, 'a');
        fake.answers["10.0.0.1:1"] = fake_environment::answer({{"state", "x"}});
        const auto run_with = [&fake](const char* file)
        {
            return fake.run({"job", "status", "j", "--server", "10.0.0.1:1",
                             "--key-file", file});
        };
        CPPUNIT_ASSERT_EQUAL(0, run_with("key"));
        CPPUNIT_ASSERT(fake.sent.at(0).second.headers.value("X-Team-Key") ==
                       "k.file");
        CPPUNIT_ASSERT_EQUAL(2, run_with("two"));
        CPPUNIT_ASSERT(fake.sent.empty());
        CPPUNIT_ASSERT_EQUAL(2, run_with("long"));
        CPPUNIT_ASSERT(fake.sent.empty());
    }

    // Guards against draining a daemon other than the intended one.
    void drain_never_reaches_a_second_daemon()
    {
        fake_environment fake;
        fake.answers["10.0.0.2:1"] =
            fake_environment::answer({{"draining", true}});
        CPPUNIT_ASSERT_EQUAL(2, fake.run({"drain", "--server", "10.0.0.1:1",
                                          "--server", "10.0.0.2:1"}));
        CPPUNIT_ASSERT(fake.sent.empty());
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"drain", "--server", "10.0.0.2:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/drain"),
                             fake.sent.at(0).second.path);
    }

    // Guards against a script that cannot tell the errors apart.
    void error_exit_status_is_that_of_the_table()
    {
        fake_environment fake;
        for (const base::error_answer& row : base::error_answers())
        {
            fake.answers["10.0.0.1:1"] = fake_environment::refusal(row.kind);
            CPPUNIT_ASSERT_EQUAL(
                row.exit_code, fake.run({"status", "--server", "10.0.0.1:1"}));
            const std::string text = fake.err.str();
            const std::string tail =
                "Advice: " + std::string(row.advice) + "\n";
            CPPUNIT_ASSERT(contains(text, std::string(row.name)));
            CPPUNIT_ASSERT(contains(text, "the detail"));
            CPPUNIT_ASSERT(text.size() >= tail.size() &&
                           text.substr(text.size() - tail.size()) == tail);
            CPPUNIT_ASSERT_EQUAL(
                row.exit_code,
                fake.run({"status", "--server", "10.0.0.1:1", "--json"}));
            const auto body = nlohmann::json::parse(fake.err.str());
            CPPUNIT_ASSERT(body["error"] == std::string(row.name));
            CPPUNIT_ASSERT(body["advice"] == std::string(row.advice));
            CPPUNIT_ASSERT(fake.out.str().empty());
        }
    }

    // Guards against a table that loses values, or an answer that sends escape
    // sequences to the terminal.
    void answer_is_printed_as_table()
    {
        fake_environment fake;
        fake.answers["10.0.0.1:1"] = fake_environment::answer(
            {{"daemon", "e\x1b[2J1"},
             {"owner", {{"epoch", 3}, {"acting", true}}},
             {"zones", nlohmann::json::array({"a", "b"})},
             {"workers",
              {{{"id", "w1"}, {"cpu_milli", 32000}},
               {{"id", "w10"}, {"state", "leaving"}}}}});
        CPPUNIT_ASSERT_EQUAL(0, fake.run({"status", "--server", "10.0.0.1:1"}));
        CPPUNIT_ASSERT_EQUAL(std::string("daemon        e [2J1\n"
                                         "owner.acting  yes\n"
                                         "owner.epoch   3\n"
                                         "zones         a, b\n"
                                         "\n"
                                         "workers\n"
                                         "id   cpu_milli  state\n"
                                         "w1   32000      -\n"
                                         "w10  -          leaving\n"),
                             fake.out.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_test);

} // namespace coltsfootrack::cli
