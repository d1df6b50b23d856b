// Tests of the daemon's settings: each malformed field must be refused with
// its name, and all errors must be reported in one run.

#include "malformed_case.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/daemon_settings.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace coltsfootrack::config
{
namespace
{

const std::string valid_settings = R"({
    // A comment.
    "id": "entry-a1", "zone": "a", "region": "north",
    "http": "10.0.0.1:8080", "peer": "10.0.0.1:8081",
    "platform": "[::1]:7000", "log_level": "warning",
    "peers": [
        {"id": "entry-b1", "zone": "b", "region": "north",
         "peer": "10.0.1.1:8081", "http": "10.0.1.1:8080"},
        {"id": "entry-c1", "zone": "c", "region": "south",
         "peer": "10.0.2.1:8081", "http": "10.0.2.1:8080"}],
    "limits": {"connections": 64, "body_bytes": 4096},
    "store": {"writes_per_second": 5, "reads_per_second": 7}
})";

const std::vector<malformed_case>& malformed_cases()
{
    static const std::vector<malformed_case> table = {
        {R"("id": "entry-a1", )", "", "id: the field is missing"},
        {R"("entry-a1")", "7", "id: must be"},
        {R"("entry-a1")", R"("")", "id: must be"},
        {R"("entry-a1")", R"("Entry/a1")", "id: must be"},
        {R"("entry-a1")", '"' + std::string(64, 'a') + '"', "id: must be"},
        {R"("zone": "a")", R"("zone": null)", "zone: must be"},
        {R"("north")", "[]", "region: must be"},
        {R"("10.0.0.1:8080")", R"("localhost:8080")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1:0")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1:65536")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1:-1")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1:80x")", "http: must be an IP"},
        {R"("10.0.0.1:8080")", R"("10.0.0.1\u0000:80")", "http: must be an IP"},
        {R"("10.0.0.1:8081")", R"("10.0.0.1:8080")", "peer: must differ"},
        {R"("[::1]:7000")", R"("::1:7000")", "platform: must be an IP"},
        {R"("warning")", R"("warnin")", "the nearest is \"warning\""},
        {R"("warning")", "2", "log_level: must be one of"},
        {R"("log_level")", R"("log_levle")",
         "log_levle: unknown field; the nearest known one is \"log_level\""},
        {R"("platform")", R"("platforms")", "platform: the field is missing"},
        {R"("entry-b1")", R"("entry-a1")", "peers[0].id: another daemon"},
        {R"("entry-c1")", R"("entry-b1")", "peers[1].id: another daemon"},
        {R"("10.0.2.1:8081")", R"("10.0.1.1:8081")",
         "peers[1].peer: the address is already in use"},
        {R"("10.0.2.1:8080")", R"("10.0.0.1:8081")",
         "peers[1].http: the address is already in use"},
        {R"({"id": "entry-b1")", R"(7, {"id": "entry-b1")",
         "peers[0]: must be an object"},
        {R"("zone": "b", )", "", "peers[0].zone: the field is missing"},
        {R"("zone": "b")", R"("zone": "b", "rack": 1)",
         "peers[0].rack: unknown field"},
        {"64", "0", "limits.connections: must be an integer from 1"},
        {"64", "-64", "limits.connections: must be an integer from 1"},
        {"64", "64.5", "limits.connections: must be an integer from 1"},
        {"64", "18446744073709551615", "limits.connections: must be"},
        {"4096", "1e3", "limits.body_bytes: must be an integer"},
        {"4096", "99999999", "limits.body_bytes: must be an integer"},
        {R"("body_bytes")", R"("body_byte")",
         "limits.body_byte: unknown field; the nearest known one is "
         "\"body_bytes\""},
        {R"({"connections": 64, "body_bytes": 4096})", "[]",
         "limits: must be an object"},
        {R"("writes_per_second": 5)", R"("writes_per_second": true)",
         "store.writes_per_second: must be"},
        {R"("reads_per_second": 7)", R"("reads_per_second": 10001)",
         "store.reads_per_second: must be"},
        {R"("zone": "a",)", R"("zone": "a", "zone": "b",)",
         "zone: the field occurs twice"},
        {R"("zone": "b",)", R"("zone": "b", "zone": "b",)",
         "peers[0].zone: the field occurs twice"},
        {R"("zone": "a",)", R"("zone": "a")", "line 3, column 42: not valid"},
        {"64", "1e999", "a number is too large"},
        {valid_settings, "", "ends too early"},
        {valid_settings, "[]", "the text must be a JSON object"},
        {valid_settings, std::string(max_settings_bytes + 1, ' '),
         "the text has"},
    };
    return table;
}

} // namespace

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(settings_correct_text_is_read);
    CPPUNIT_TEST(settings_each_malformed_text_is_refused_by_field);
    CPPUNIT_TEST(settings_several_errors_are_reported_together);
    CPPUNIT_TEST(settings_too_many_peers_are_refused);
    CPPUNIT_TEST(settings_truncated_anywhere_is_refused);
    CPPUNIT_TEST(address_written_is_read_back);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is read into the wrong place or ignored.
    void settings_correct_text_is_read()
    {
        const absl::StatusOr<daemon_settings> read =
            parse_settings(valid_settings);
        CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-a1"), read->id.text());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), read->zone.text());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), read->region.text());
        CPPUNIT_ASSERT((read->http_address == address{"10.0.0.1", 8080}));
        CPPUNIT_ASSERT((read->peer_address == address{"10.0.0.1", 8081}));
        CPPUNIT_ASSERT((read->platform_address == address{"::1", 7000}));
        CPPUNIT_ASSERT(read->log_level == base::log_level::warning);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->peers.size());
        const peer_settings expected = {base::daemon_id("entry-c1"),
                                        base::zone_id("c"),
                                        base::region_id("south"),
                                        {"10.0.2.1", 8081},
                                        {"10.0.2.1", 8080}};
        CPPUNIT_ASSERT(read->peers[1] == expected);
        CPPUNIT_ASSERT((read->limits == http_limits{64, 4096}));
        CPPUNIT_ASSERT((read->store == store_budget{5, 7}));
    }

    // Guards against a wrong value that is accepted, or refused without the
    // name of its field.
    void settings_each_malformed_text_is_refused_by_field()
    {
        for (const malformed_case& each : malformed_cases())
        {
            const std::string text = each.applied_to(valid_settings);
            CPPUNIT_ASSERT_MESSAGE("nothing replaced: " + each.from,
                                   text != valid_settings);
            const absl::Status status = parse_settings(text).status();
            CPPUNIT_ASSERT_MESSAGE("accepted: " + each.expected, !status.ok());
            CPPUNIT_ASSERT(base::kind_of(status) ==
                           base::error_kind::invalid_settings);
            const std::string message(status.message());
            CPPUNIT_ASSERT_MESSAGE(each.expected + " in " + message,
                                   message.find(each.expected) !=
                                       std::string::npos);
        }
    }

    // Guards against reporting only the first of several errors.
    void settings_several_errors_are_reported_together()
    {
        const std::string message(
            parse_settings(R"({"id": 1, "peers": {}, "limits": {"x": 1}})")
                .status()
                .message());
        for (const char* field :
             {"id: ", "zone: ", "region: ", "http: ", "peer: ", "platform: ",
              "peers: ", "limits.x: "})
        {
            CPPUNIT_ASSERT_MESSAGE(message,
                                   message.find(field) != std::string::npos);
        }
    }

    // Guards against settings that make the daemon open an unbounded number of
    // connections.
    void settings_too_many_peers_are_refused()
    {
        std::string peers = "[0";
        for (std::size_t i = 0; i < max_peers; ++i)
        {
            peers += ",0";
        }
        const std::string message(
            parse_settings(R"({"peers": )" + peers + "]}").status().message());
        CPPUNIT_ASSERT(message.find("peers: must be an array of at most 127") !=
                       std::string::npos);
    }

    // Guards against a settings file that was truncated by a partial write.
    void settings_truncated_anywhere_is_refused()
    {
        for (std::size_t size = 0; size < valid_settings.size(); ++size)
        {
            CPPUNIT_ASSERT(
                !parse_settings(valid_settings.substr(0, size)).ok());
        }
    }

    // Guards against an address that changes when it is sent to a peer.
    void address_written_is_read_back()
    {
        CPPUNIT_ASSERT(rc::check(
            "an address is read back",
            []
            {
                const auto byte = []
                {
                    return std::to_string(*rc::gen::inRange(0, 256));
                };
                address value;
                value.host = *rc::gen::element(byte() + "." + byte() + "." +
                                                   byte() + "." + byte(),
                                               "fd00::" + byte());
                value.port = *rc::gen::inRange<std::uint16_t>(1, 65535);
                const auto read = parse_address(to_string(value));
                RC_ASSERT(read.ok());
                RC_ASSERT(*read == value);
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace coltsfootrack::config
