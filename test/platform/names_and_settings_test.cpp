// Guards against malformed task names that are accepted, and against settings
// files that are accepted without a field.

#include "settings.hpp"
#include "task_name.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace coltsfootrack::platform
{
namespace
{

nlohmann::json valid_settings()
{
    return nlohmann::json::parse(R"({"daemon":"d1","zone":"z","region":"r",
        "address":"10.1.0.5","peer_ports":[7180,7195],
        "listen":{"callers":"10.1.0.5:8686","health":"10.1.0.5:8689"},
        "store":"10.200.1.7:8683","tickets":"10.200.1.9:8683",
        "limits":{"processor_share":0.25,"processors":2},
        "bounds":{"stop_grace_s":6,"share_window_s":5,
        "share_slack":20,"longest_lease_ms":10000,"state_kept_s":120}})");
}

} // namespace

class names_and_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(names_and_settings_test);
    CPPUNIT_TEST(task_name_formatted_is_parsed_back);
    CPPUNIT_TEST(task_name_malformed_is_an_error);
    CPPUNIT_TEST(settings_valid_set_every_field);
    CPPUNIT_TEST(settings_with_comments_are_read);
    CPPUNIT_TEST(settings_advertised_peer_is_optional_and_checked);
    CPPUNIT_TEST(settings_link_rate_is_optional_and_checked);
    CPPUNIT_TEST(settings_report_interval_is_optional_and_checked);
    CPPUNIT_TEST(settings_missing_field_is_an_error);
    CPPUNIT_TEST(settings_missing_file_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_name_formatted_is_parsed_back()
    {
        const jobs::task_key key{{base::job_id("5c0e7a21d94b36f8"), 2, 1}, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1.17"),
                             task_name(key));
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.2.1"),
                             step_name(key.step));
        CPPUNIT_ASSERT(*parse_task_name(task_name(key)) == key);
    }

    void task_name_malformed_is_an_error()
    {
        for (const char* name : {"", "a", "a.0.1", "a.0.1.2.3", ".0.1.2",
                                 "a.x.1.2", "a.0..2", "a.0.1.99999999999"})
        {
            CPPUNIT_ASSERT_MESSAGE(name, !parse_task_name(name).ok());
        }
    }

    void settings_valid_set_every_field()
    {
        const auto value = parse_settings(valid_settings().dump());
        CPPUNIT_ASSERT(value.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("d1"), value->daemon);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7180}, value->first_peer_port);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8686}, value->callers.port);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{500}, value->processor_milli);
        CPPUNIT_ASSERT(value->longest_lease == std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(20, value->share_slack);
        CPPUNIT_ASSERT_EQUAL(std::size_t(65536), value->max_row_bytes);
        auto with_limits = valid_settings();
        with_limits["store_limits"] = {{"row_bytes", 1000}};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1000),
                             parse_settings(with_limits.dump())->max_row_bytes);
        for (const auto& bad : {nlohmann::json(0), nlohmann::json("many"),
                                nlohmann::json(std::int64_t(1) << 40)})
        {
            with_limits["store_limits"]["row_bytes"] = bad;
            CPPUNIT_ASSERT(!parse_settings(with_limits.dump()).ok());
        }
    }

    void settings_advertised_peer_is_optional_and_checked()
    {
        nlohmann::json given = valid_settings();
        CPPUNIT_ASSERT(!parse_settings(given.dump())->advertised_peer);
        given["advertised_peer"] = "192.0.2.7:7300";
        const auto value = parse_settings(given.dump());
        CPPUNIT_ASSERT_EQUAL(std::string("192.0.2.7"),
                             value->advertised_peer->host);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7300}, value->advertised_peer->port);
        given["advertised_peer"] = "host-without-port";
        CPPUNIT_ASSERT(!parse_settings(given.dump()).ok());
    }

    void settings_link_rate_is_optional_and_checked()
    {
        nlohmann::json given = valid_settings();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             parse_settings(given.dump())->link_rate);
        given["limits"]["link_megabits_per_s"] = 2.0;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{250000},
                             parse_settings(given.dump())->link_rate);
        for (const nlohmann::json& value :
             {nlohmann::json(-1), nlohmann::json(1e300),
              nlohmann::json("fast")})
        {
            given["limits"]["link_megabits_per_s"] = value;
            CPPUNIT_ASSERT(!parse_settings(given.dump()).ok());
        }
    }

    void settings_report_interval_is_optional_and_checked()
    {
        nlohmann::json given = valid_settings();
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t{0},
            std::int64_t{
                parse_settings(given.dump())->worker_report_interval.count()});
        given["worker_report_ms"] = nullptr;
        CPPUNIT_ASSERT(parse_settings(given.dump()).ok());
        given["worker_report_ms"] = 1500;
        CPPUNIT_ASSERT(parse_settings(given.dump())->worker_report_interval ==
                       std::chrono::milliseconds(1500));
        for (const nlohmann::json& value :
             {nlohmann::json(-1), nlohmann::json("often")})
        {
            given["worker_report_ms"] = value;
            CPPUNIT_ASSERT(!parse_settings(given.dump()).ok());
        }
    }

    void settings_with_comments_are_read()
    {
        CPPUNIT_ASSERT(
            parse_settings("// one daemon\n" + valid_settings().dump()).ok());
    }

    // Guards against a daemon that starts with incomplete settings.
    void settings_missing_field_is_an_error()
    {
        for (const char* path :
             {"/daemon", "/zone", "/region", "/address", "/peer_ports",
              "/listen/callers", "/listen/health", "/store", "/tickets",
              "/limits/processor_share", "/bounds/stop_grace_s",
              "/bounds/share_slack", "/bounds/longest_lease_ms"})
        {
            const nlohmann::json::json_pointer at(path);
            auto without = valid_settings();
            without.at(at.parent_pointer()).erase(at.back());
            const auto value = parse_settings(without.dump());
            CPPUNIT_ASSERT_MESSAGE(path, !value.ok());
            CPPUNIT_ASSERT(base::kind_of(value.status()) ==
                           base::error_kind::invalid_settings);
        }
    }

    void settings_missing_file_is_an_error()
    {
        CPPUNIT_ASSERT(!load_settings("").ok());
        CPPUNIT_ASSERT(!load_settings("no-such-file.json").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(names_and_settings_test);

} // namespace coltsfootrack::platform
