// The operations that system tests share.

#include "fleet_driver.hpp"

#include "fleet_checks.hpp"

#include <chrono>
#include <cppunit/TestAssert.h>

namespace coltsfootrack::local_cluster
{
namespace
{

using nlohmann::json;
using std::chrono::seconds;

cluster_options in_folder(const std::string& name, cluster_options options)
{
    options.folder = "system-run/" + name;
    return options;
}

json parse(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

} // namespace

fleet_driver::fleet_driver(const std::string& name, cluster_options options)
    : fleet_(in_folder(name, std::move(options)))
{
    CPPUNIT_ASSERT_MESSAGE("each zone has an acting owner", fleet_.start());
}

void fleet_driver::accept_ticket(std::size_t daemon,
                                 const sample_ticket& ticket)
{
    http::request message;
    message.method = "POST";
    message.path = "/v1/tickets";
    message.body = ticket.text();
    std::string last;
    const bool accepted = cluster::wait_for(
        [&]
        {
            const http::response answer = fleet_.call(daemon, message);
            last = answer.body;
            return answer.status == 200;
        },
        seconds(20));
    CPPUNIT_ASSERT_MESSAGE("ticket: " + last, accepted);
}

void fleet_driver::wait_sequence(int sequence)
{
    const bool reached = cluster::wait_for(
        [&]
        {
            for (std::size_t i = 0; i < fleet_.daemons().size(); ++i)
            {
                if (!fleet_.daemons()[i].process->running())
                {
                    continue;
                }
                http::request message;
                message.path = "/v1/status";
                const json body = parse(fleet_.call(i, message).body);
                if (!body.is_object() ||
                    body.value("config_sequence", 0) < sequence)
                {
                    return false;
                }
            }
            return true;
        },
        seconds(20));
    CPPUNIT_ASSERT_MESSAGE("the configuration is in force", reached);
}

http::response fleet_driver::post(std::size_t daemon, const std::string& path,
                                  const std::string& key, const json& body,
                                  const std::string& idempotency_key)
{
    http::request message;
    message.method = "POST";
    message.path = path;
    message.headers.add("X-Team-Key", key);
    if (!idempotency_key.empty())
    {
        message.headers.add("Idempotency-Key", idempotency_key);
    }
    message.body = body.dump();
    return fleet_.call(daemon, message);
}

void fleet_driver::submit(const std::vector<std::size_t>& daemons,
                          const std::string& workload, const std::string& key,
                          const std::string& id)
{
    std::size_t next = 0;
    std::string last;
    const bool accepted = cluster::wait_for(
        [&]
        {
            const http::response answer =
                post(daemons[next++ % daemons.size()], "/v1/jobs", key,
                     {{"workload", workload}, {"id", id}});
            last = answer.body;
            return answer.status == 202 || answer.status == 200;
        },
        seconds(20));
    CPPUNIT_ASSERT_MESSAGE("job " + id + ": " + last, accepted);
}

json fleet_driver::row(const std::string& key)
{
    http::request message;
    message.method = "POST";
    message.path = "/v1/table/read";
    message.body = json({{"keys", {key}}, {"prefixes", json::array()}}).dump();
    const json body =
        parse(fleet_.call_address(fleet_.platform_address(), message).body);
    if (!body.is_object() || body.value("rows", json::array()).empty())
    {
        return nullptr;
    }
    return body["rows"][0]["value"];
}

bool fleet_driver::finished(const std::string& id)
{
    const json index = row("job-id/" + id);
    if (!index.is_object())
    {
        return false;
    }
    const json done =
        row("done/" + index.value("zone", std::string()) + "/" + id);
    return done.is_object() && done.value("state", "") == "finished";
}

void fleet_driver::wait_candidate(const std::string& zone)
{
    CPPUNIT_ASSERT_MESSAGE(
        "the owner has a candidate",
        cluster::wait_for(
            [&]
            {
                const json owner = row("owner/" + zone);
                return owner.is_object() &&
                       !owner.value("candidates", json()).empty();
            },
            seconds(30)));
}

void fleet_driver::store_faults(const json& faults)
{
    fleet_.platform("POST", "/control/faults", faults);
}

void fleet_driver::vm_faults(const std::string& name_or_role,
                             const json& faults)
{
    for (const json& vm : fleet_.vms())
    {
        if (vm["name"] != name_or_role && vm["role"] != name_or_role)
        {
            continue;
        }
        http::request message;
        message.method = "POST";
        message.path = "/control/faults";
        message.body = faults.dump();
        CPPUNIT_ASSERT_EQUAL(
            200, fleet_.call_address(vm["address"].get<std::string>(), message)
                     .status);
    }
}

json fleet_driver::runner_history()
{
    json all = json::array();
    for (const json& vm : fleet_.vms())
    {
        if (vm["role"] != "runner")
        {
            continue;
        }
        http::request message;
        message.path = "/control/history";
        const json body =
            parse(fleet_.call_address(vm["address"].get<std::string>(), message)
                      .body);
        CPPUNIT_ASSERT(body.is_object());
        for (json run : body.at("history"))
        {
            run["runner"] = vm["name"];
            all.push_back(std::move(run));
        }
    }
    return all;
}

int fleet_driver::running_tasks(const std::string& job)
{
    int count = 0;
    for (const json& event : fleet_.worker_history())
    {
        if (job.empty() || event.at("job") == job)
        {
            count += event.at("event") == "started" ? 1 : 0;
            count -= event.at("event") == "ended" ? 1 : 0;
        }
    }
    return count;
}

void fleet_driver::check_workers(
    const std::map<std::string, base::resources>& limits)
{
    std::map<std::string, base::resources> sizes;
    for (const json& vm : fleet_.vms())
    {
        sizes[vm.at("name")] = {vm.at("cpu_milli"), vm.at("memory_mb"),
                                vm.at("accelerators")};
    }
    const json history = fleet_.worker_history();
    CPPUNIT_ASSERT_EQUAL(std::string(), check_capacity(history, sizes));
    CPPUNIT_ASSERT_EQUAL(std::string(), check_exclusive(history));
    CPPUNIT_ASSERT_EQUAL(std::string(), check_limits(history, limits));
}

std::string error_of(const http::response& answer)
{
    const json body = parse(answer.body);
    return body.is_object() ? body.value("error", "") : "";
}

bool says_did_not_run(const http::response& answer)
{
    const json body = parse(answer.body);
    return body.is_object() && body.value("execution", "") == "did_not_run";
}

} // namespace coltsfootrack::local_cluster
