// Tests of the platform's documents: valid ones are read completely, and ones
// with missing fields, wrong types or unknown values are rejected.

#include "documents.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/http/numeric_address.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace coltsfootrack::platform
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

json valid_listing()
{
    return json::parse(R"({"service":"s1","address":"10.128.0.9:8080",
        "zone":"z1","version":"v1","slots":8,"state":"ready",
        "cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpus":2},
        "labels":["a","r1-3"],"clock_ms":482113,"call_seq":4})");
}

json valid_config()
{
    return json::parse(R"({"version":7,"routes":[{"name":"r1",
        "host":"h.example","path_prefix":"/a/","timeout_ms":3000,
        "target_runtime_ms":400,"priority":1,"service":"s1",
        "max_attempts":3,"stretch":1.5,
        "advice":{"decide_ms":15.5,"each_ms":0.21,"valid_ms":1500},
        "public":true}],
        "services":[{"name":"s1","enforces_capacity":false,"spare":true}],
        "tenants":[{"name":"t1","api_keys":["k1","k2"],"weight":13,
        "upper_limit":{"cpu":7000,"mem_mb":2000,"gpus":6}}]})");
}

json valid_job()
{
    return json::parse(R"({"spec":"text","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
         "affinity":"r1-3"},
        {"count":20,"cpu":2000,"mem_mb":1024,"gpus":1,"estimate_ms":7000,
         "after":[0],"checkpoint":true,"gang":true,"same_rack":true,
         "requires":"a","max_per_server":2,"speculative":true,
         "long_running":true,"image":"i","target_ms":250,"fills":true,
         "may_miss":1}],
        "repeat_count":3,"first_ms":1000,"interval_ms":500})");
}

// A change to a document: a JSON pointer and the value to set there; null
// removes the field.
struct document_change
{
    const char* path;
    json value;
};

json with_change(json document, const document_change& change)
{
    const json::json_pointer at(change.path);
    if (change.value.is_null())
    {
        document.at(at.parent_pointer()).erase(at.back());
    }
    else
    {
        document[at] = change.value;
    }
    return document;
}

// A document with a few random changes: bytes replaced or removed, or a number,
// text or nesting put in place of one.
std::string mutated(std::string text)
{
    const std::vector<std::string> pieces = {std::string(400, '9'),
                                             "1e300",
                                             "-1e300",
                                             "-1",
                                             "9223372036854775808",
                                             "0",
                                             "\"\"",
                                             "\"\xff\"",
                                             "null",
                                             "[[[[[]]]]]",
                                             "{}",
                                             "\"10.0.0.1:99999\"",
                                             "true",
                                             "1.5",
                                             ",",
                                             "\"a\":"};
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes && !text.empty(); ++i)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
            break;
        default:
        {
            // In place of a value, so that the document often stays valid.
            const std::size_t begin = text.find(':', at);
            const std::size_t end = text.find_first_of(",}]", begin);
            if (begin != std::string::npos && end != std::string::npos)
            {
                text.replace(begin + 1, end - begin - 1,
                             *rc::gen::elementOf(pieces));
            }
        }
        }
    }
    return text;
}

} // namespace

class documents_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(documents_test);
    CPPUNIT_TEST(listing_valid_sets_every_field);
    CPPUNIT_TEST(listing_optional_fields_may_be_there);
    CPPUNIT_TEST(listing_draining_is_leaving);
    CPPUNIT_TEST(listing_invalid_field_is_an_error);
    CPPUNIT_TEST(listing_malformed_text_is_an_error);
    CPPUNIT_TEST(listing_unusable_id_is_an_error);
    CPPUNIT_TEST(listing_nested_deeply_is_an_error);
    CPPUNIT_TEST(listing_numbers_of_400_digits_are_an_error);
    CPPUNIT_TEST(listing_any_mutation_is_read_or_an_error);
    CPPUNIT_TEST(job_number_out_of_range_is_an_error);
    CPPUNIT_TEST(job_any_mutation_is_read_or_an_error);
    CPPUNIT_TEST(catalogue_valid_sets_every_field);
    CPPUNIT_TEST(catalogue_invalid_route_is_skipped);
    CPPUNIT_TEST(catalogue_invalid_required_field_is_an_error);
    CPPUNIT_TEST(catalogue_longest_prefix_routes);
    CPPUNIT_TEST(job_valid_sets_every_field);
    CPPUNIT_TEST(job_without_optional_fields_has_defaults);
    CPPUNIT_TEST(job_invalid_field_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        base::set_log_level(base::log_level::error);
    }

    void listing_valid_sets_every_field()
    {
        const auto listing = read_listing("i-1", valid_listing().dump());
        CPPUNIT_ASSERT(listing.ok());
        fleet::worker_listing expected;
        expected.worker = base::worker_id("i-1");
        expected.address = "10.128.0.9:8080";
        expected.service = base::service_id("s1");
        expected.zone = base::zone_id("z1");
        expected.capacity = {16000, 32768, 2};
        expected.labels = {"a", "r1-3"};
        CPPUNIT_ASSERT(*listing == expected);
    }

    // Guards against runners that are not used for a field that only some
    // entries have, or for a number with a fraction.
    void listing_optional_fields_may_be_there()
    {
        const std::vector<document_change> changes = {
            {"/born", 1764950000000},
            {"/remaining_ms", 2500},
            {"/clock_ms", nullptr},
            {"/cold_left_ms", 12.5},
            {"/other", json::array({"x"})}};
        for (const document_change& change : changes)
        {
            CPPUNIT_ASSERT_MESSAGE(
                change.path,
                read_listing("i-1", with_change(valid_listing(), change).dump())
                    .ok());
        }
    }

    void listing_draining_is_leaving()
    {
        const auto listing = read_listing(
            "i-1", with_change(valid_listing(), {"/state", "draining"}).dump());
        CPPUNIT_ASSERT(listing.ok());
        CPPUNIT_ASSERT(listing->leaving);
    }

    // Guards against taking rows of other writers for workers: a new leader
    // waits for each of those (review/9). No field may be missing, or have
    // another type, whether it is used here or not.
    void listing_invalid_field_is_an_error()
    {
        const std::vector<document_change> changes = {
            {"/service", nullptr},
            {"/service", 7},
            {"/address", nullptr},
            {"/address", json::array()},
            {"/zone", nullptr},
            {"/zone", false},
            {"/state", nullptr},
            {"/state", "gone"},
            {"/state", 1},
            {"/capacity", nullptr},
            {"/capacity", 5},
            {"/capacity/cpu", nullptr},
            {"/capacity/cpu", "many"},
            {"/capacity/mem_mb", nullptr},
            {"/capacity/gpus", "two"},
            {"/address", ""},
            {"/address", "10.0.0.1"},
            {"/address", "10.0.0.1:"},
            {"/address", "10.0.0.1:0"},
            {"/address", "10.0.0.1:65536"},
            {"/address", "10.0.0.1:99999"},
            {"/address", "10.0.0.1:-1"},
            {"/address", "10.0.0.1: 80"},
            {"/address", "host.example:80"},
            {"/address", std::string("10.0.0.1\0:80", 12)},
            {"/service", ""},
            {"/zone", ""},
            {"/capacity/cpu", -1},
            {"/capacity/cpu", 1e300},
            {"/capacity/cpu", 1e19},
            {"/capacity/cpu", std::numeric_limits<std::uint64_t>::max()},
            {"/capacity/mem_mb", -1e300},
            {"/capacity/gpus", -8},
            {"/labels", nullptr},
            {"/labels", "a"},
            {"/labels", json::array({1, 2})},
            {"/capacity/gpus", nullptr},
            {"/capacity/gpus", true},
            {"/version", nullptr},
            {"/version", 1},
            {"/version", json::array({"v1"})},
            {"/slots", nullptr},
            {"/slots", "8"},
            {"/slots", -8},
            {"/slots", 1e300},
            {"/slots", json::object()},
            {"/cold_left_ms", nullptr},
            {"/cold_left_ms", "0"},
            {"/cold_left_ms", -1},
            {"/call_seq", nullptr},
            {"/call_seq", "4"},
            {"/call_seq", false},
            {"/born", "1764950000000"},
            {"/born", -1},
            {"/clock_ms", "482113"},
            {"/remaining_ms", json::array()}};
        for (const document_change& change : changes)
        {
            const auto listing = read_listing(
                "i-1", with_change(valid_listing(), change).dump());
            CPPUNIT_ASSERT_MESSAGE(change.path, !listing.ok());
        }
    }

    void listing_malformed_text_is_an_error()
    {
        for (const std::string text :
             {"", "{", "[]", "null", "7", "\xff\xfe\x00", "{\"a\":1}"})
        {
            CPPUNIT_ASSERT(!read_listing("i-1", text).ok());
        }
    }

    // An id without a character cannot be sent to a peer.
    void listing_unusable_id_is_an_error()
    {
        for (const std::string& id :
             {std::string(), std::string(201, 'a'), std::string("a\r\nb"),
              std::string("a b"), std::string("\xff"), std::string(1, '\0')})
        {
            CPPUNIT_ASSERT(!read_listing(id, valid_listing().dump()).ok());
        }
        CPPUNIT_ASSERT(
            read_listing(std::string(200, 'a'), valid_listing().dump()).ok());
    }

    // Guards against a parser or a destructor that uses the stack.
    void listing_nested_deeply_is_an_error()
    {
        constexpr std::size_t depth = 100000;
        const std::string arrays =
            std::string(depth, '[') + std::string(depth, ']');
        std::string objects;
        for (std::size_t i = 0; i < depth; ++i)
        {
            objects += "{\"capacity\":";
        }
        objects += "1" + std::string(depth, '}');
        std::string listing = valid_listing().dump();
        listing.insert(1, "\"other\":" + arrays + ",");
        CPPUNIT_ASSERT(!read_listing("i-1", arrays).ok());
        CPPUNIT_ASSERT(!read_listing("i-1", objects).ok());
        CPPUNIT_ASSERT(!read_listing("i-1", std::string(depth, '[')).ok());
        CPPUNIT_ASSERT(!read_job(arrays).ok());
        CPPUNIT_ASSERT(!read_catalogue(objects).ok());
        // A field that is not used does no harm.
        CPPUNIT_ASSERT(read_listing("i-1", listing).ok());
    }

    void listing_numbers_of_400_digits_are_an_error()
    {
        std::string listing = valid_listing().dump();
        const std::size_t at = listing.find("16000");
        listing.replace(at, 5, std::string(400, '9'));
        CPPUNIT_ASSERT(!read_listing("i-1", listing).ok());
    }

    // Whatever another writer leaves, reading it ends with a listing that can
    // be used or with an error.
    void listing_any_mutation_is_read_or_an_error()
    {
        const bool holds = rc::check(
            [](std::uint64_t)
            {
                const auto listing =
                    read_listing("i-1", mutated(valid_listing().dump()));
                if (listing.ok())
                {
                    RC_ASSERT(listing->capacity.is_valid());
                    RC_ASSERT(http::is_numeric_address(listing->address));
                    RC_ASSERT(!listing->service.empty());
                }
            });
        CPPUNIT_ASSERT(holds);
    }

    void job_any_mutation_is_read_or_an_error()
    {
        const bool holds = rc::check(
            [](std::uint64_t)
            {
                const auto job = read_job(mutated(valid_job().dump()));
                if (job.ok())
                {
                    RC_ASSERT(check(*job).ok());
                    // The times of all occurrences exist.
                    const auto last =
                        job->first_due + job->interval * job->repeats;
                    RC_ASSERT(last >= job->first_due);
                }
                static_cast<void>(
                    read_catalogue(mutated(valid_config().dump())));
            });
        CPPUNIT_ASSERT(holds);
    }

    void job_number_out_of_range_is_an_error()
    {
        for (const char* path : {"/steps/0/count", "/steps/0/cpu",
                                 "/steps/0/estimate_ms", "/steps/1/target_ms",
                                 "/steps/1/may_miss", "/steps/1/max_per_server",
                                 "/repeat_count", "/first_ms", "/interval_ms"})
        {
            for (const json& value :
                 {json(1e300), json(-1e300), json(9.3e18),
                  json(std::numeric_limits<std::uint64_t>::max()),
                  json(std::numeric_limits<std::int64_t>::min())})
            {
                const auto job =
                    read_job(with_change(valid_job(), {path, value}).dump());
                CPPUNIT_ASSERT_MESSAGE(path, !job.ok());
            }
        }
    }

    void catalogue_valid_sets_every_field()
    {
        const auto value = read_catalogue(valid_config().dump());
        CPPUNIT_ASSERT(value.ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, value->version);
        fleet::queue_policy queue;
        queue.name = "r1";
        queue.host = "h.example";
        queue.path_prefix = "/a/";
        queue.service = base::service_id("s1");
        queue.priority = 1;
        queue.max_attempts = 3;
        queue.stretch = 1.5;
        queue.slack = milliseconds(400);
        queue.call_timeout = milliseconds(3000);
        queue.open = true;
        fleet::ticket_policy tickets;
        tickets.decide_time = std::chrono::duration<double, std::milli>(15.5);
        tickets.time_per_worker =
            std::chrono::duration<double, std::milli>(0.21);
        tickets.valid_for = milliseconds(1500);
        queue.tickets = tickets;
        CPPUNIT_ASSERT(*value->queue("r1") == queue);
        const fleet::service_policy service{base::service_id("s1"), false,
                                            true};
        CPPUNIT_ASSERT(value->services.at(base::service_id("s1")) == service);
        const fleet::team_policy team{base::team_id("t1"), 13, {7000, 2000, 6}};
        CPPUNIT_ASSERT(*value->team(base::team_id("t1")) == team);
        CPPUNIT_ASSERT(*value->team_of("k2") == base::team_id("t1"));
        CPPUNIT_ASSERT(value->team_of("k3") == nullptr);
    }

    // Guards against one malformed route that takes all others out of service.
    void catalogue_invalid_route_is_skipped()
    {
        const std::vector<document_change> changes = {
            {"/routes/0/name", nullptr},    {"/routes/0/host", nullptr},
            {"/routes/0/host", 3},          {"/routes/0/path_prefix", nullptr},
            {"/routes/0/service", nullptr}, {"/routes/0/priority", "high"},
            {"/routes/0/stretch", "long"}};
        for (const document_change& change : changes)
        {
            json config = with_change(valid_config(), change);
            json valid_route = valid_config()["routes"][0];
            valid_route["name"] = "r2";
            config["routes"].push_back(valid_route);
            const auto value = read_catalogue(config.dump());
            CPPUNIT_ASSERT_MESSAGE(change.path, value.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, value->queues.size());
            CPPUNIT_ASSERT(value->queue("r2") != nullptr);
        }
    }

    void catalogue_invalid_required_field_is_an_error()
    {
        const std::vector<document_change> changes = {
            {"/version", nullptr},       {"/version", "seven"},
            {"/routes", nullptr},        {"/routes", 1},
            {"/services", nullptr},      {"/tenants/0/name", nullptr},
            {"/tenants/0/api_keys", "k"}};
        for (const document_change& change : changes)
        {
            const auto value =
                read_catalogue(with_change(valid_config(), change).dump());
            CPPUNIT_ASSERT_MESSAGE(change.path, !value.ok());
        }
        CPPUNIT_ASSERT(!read_catalogue("").ok());
    }

    void catalogue_longest_prefix_routes()
    {
        json config = valid_config();
        json longer = config["routes"][0];
        longer["name"] = "r2";
        longer["path_prefix"] = "/a/b/";
        config["routes"].push_back(longer);
        const auto value = read_catalogue(config.dump());
        CPPUNIT_ASSERT(value.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("r1"),
                             value->route("h.example", "/a/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                             value->route("H.example:80", "/a/b/x")->name);
        CPPUNIT_ASSERT(value->route("h.example", "/c/x") == nullptr);
        CPPUNIT_ASSERT(value->route("g.example", "/a/x") == nullptr);
    }

    void job_valid_sets_every_field()
    {
        const auto job = read_job(valid_job().dump());
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("text"), job->payload);
        CPPUNIT_ASSERT_EQUAL(3, job->repeats);
        CPPUNIT_ASSERT(job->interval == milliseconds(500));
        jobs::step_spec step;
        step.tasks = 20;
        step.need = {2000, 1024, 1};
        step.estimate = milliseconds(7000);
        step.after = {0};
        step.checkpoints = true;
        step.gang = true;
        step.same_rack = true;
        step.required_label = "a";
        step.max_per_worker = 2;
        step.copies_allowed = true;
        step.standing = true;
        step.image = "i";
        step.latency_target = milliseconds(250);
        step.uses_leftover = true;
        step.disruption_budget = 1;
        step.has_disruption_budget = true;
        CPPUNIT_ASSERT(job->steps.at(1) == step);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job->steps[0].data_rack);
    }

    void job_without_optional_fields_has_defaults()
    {
        const auto job = read_job(R"({"spec":"","steps":[{"count":1}]})");
        CPPUNIT_ASSERT(job.ok());
        CPPUNIT_ASSERT(job->steps.at(0) == jobs::step_spec());
        CPPUNIT_ASSERT(!job->has_schedule());
    }

    void job_invalid_field_is_an_error()
    {
        const std::vector<document_change> changes = {
            {"/spec", nullptr},
            {"/spec", 5},
            {"/spec", std::string(jobs::max_payload_bytes + 1, 'x')},
            {"/steps", nullptr},
            {"/steps", json::array()},
            {"/steps", "one"},
            {"/steps/0/count", nullptr},
            {"/steps/0/count", 0},
            {"/steps/0/count", -3},
            {"/steps/0/count", "many"},
            {"/steps/0/cpu", -1},
            {"/steps/0/mem_mb", "much"},
            {"/steps/0/estimate_ms", -5},
            {"/steps/0/after", json::array({0})},
            {"/steps/1/after", json::array({1})},
            {"/steps/1/after", json::array({-1})},
            {"/steps/1/after", "first"},
            {"/steps/1/max_per_server", -1},
            {"/repeat_count", -1},
            {"/interval_ms", -1}};
        for (const document_change& change : changes)
        {
            const auto job = read_job(with_change(valid_job(), change).dump());
            CPPUNIT_ASSERT_MESSAGE(change.path, !job.ok());
            CPPUNIT_ASSERT(base::kind_of(job.status()) ==
                           base::error_kind::invalid_request);
        }
        CPPUNIT_ASSERT(!read_job("").ok());
        CPPUNIT_ASSERT(!read_job("[]").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_test);

} // namespace coltsfootrack::platform
