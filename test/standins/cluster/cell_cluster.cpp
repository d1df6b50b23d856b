// Starts, controls and queries the processes of a cell on loopback.

#include "cell_cluster.hpp"

#include "cluster.hpp"

#include <cstdlib>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace coltsfootrack::soak
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* api_key = "soak-key";
constexpr const char* loopback = "127.0.0.1";

constexpr milliseconds caller_timeout{3000};

// Long, because the stand-in is slow while an overloaded cell calls hundreds of
// its workers, and events in an answer that arrives too late would be lost.
constexpr milliseconds control_timeout{30000};

http::client_options client_options()
{
    http::client_options options;
    options.connect_timeout = milliseconds(300);
    options.total_timeout = caller_timeout;
    return options;
}

http::request request_for(const std::string& method, const std::string& id)
{
    http::request request;
    request.method = method;
    request.path = "/jobs/" + id;
    request.headers.add("Host", "soak.example");
    request.headers.add("Authorization", std::string("Token ") + api_key);
    return request;
}

} // namespace

std::string random_id(std::mt19937_64& random)
{
    return fmt::format("{:016x}", random());
}

cell_cluster::cell_cluster(const cluster_options& options)
    : options_(options)
    , client_(client_options())
{
    // Programs append to logs, so those of an earlier run must go.
    std::filesystem::remove_all(options.log_folder);
    std::filesystem::create_directories(options.log_folder);
    platform_ = std::make_unique<local_cluster::child_process>(
        std::vector<std::string>{options.build_folder + "/standin-cell",
                                 "--stores", std::to_string(options.daemons),
                                 "--runners", std::to_string(options.workers),
                                 "--cpu",
                                 std::to_string(options.worker_cpu_milli),
                                 "--seed", std::to_string(options.seed)},
        options.log_folder + "/platform");
    // A busy machine takes seconds to start a program.
    for (int i = 0; i < 750 && ports_.is_null(); ++i)
    {
        std::this_thread::sleep_for(milliseconds(20));
        ports_ = json::parse(platform_->output(), nullptr, false);
        ports_ = ports_.is_object() ? ports_ : json();
    }
    if (ports_.is_null())
    {
        throw std::runtime_error("the stand-in of the platform did not start");
    }
    write_config();
    for (int i = 0; i < options.daemons; ++i)
    {
        daemon_node daemon;
        daemon.store_relay =
            std::make_unique<local_cluster::tcp_relay>(fmt::format(
                "{}:{}", loopback, ports_.at("stores").at(i).get<int>()));
        write_settings(daemon, i);
        daemons_.push_back(std::move(daemon));
        start_daemon(i);
    }
}

void cell_cluster::write_config()
{
    const json route = {
        {"name", "soak"},
        {"host", "soak.example"},
        {"path_prefix", "/jobs/"},
        {"timeout_ms", 3000},
        {"target_runtime_ms", 400},
        {"priority", 0},
        {"service", "s"},
        {"max_attempts", 3},
        {"stretch", 2.0},
        {"advice", {{"decide_ms", 10}, {"each_ms", 0.1}, {"valid_ms", 1500}}}};
    const json config = {
        {"version", ++config_version_},
        {"routes", {route}},
        {"services", {{{"name", "s"}, {"enforces_capacity", false}}}},
        {"tenants",
         {{{"name", "t"}, {"api_keys", {api_key}}, {"weight", 100}}}}};
    control({{"action", "write"},
             {"table", "op"},
             {"key", "config"},
             {"value", config.dump()}});
}

int cell_cluster::change_config()
{
    write_config();
    return config_version_;
}

void cell_cluster::write_settings(daemon_node& daemon, int number)
{
    const std::uint16_t peer = local_cluster::free_ports(1);
    daemon.peer_relay = std::make_unique<local_cluster::tcp_relay>(
        fmt::format("{}:{}", loopback, peer));
    daemon.callers_address =
        fmt::format("{}:{}", loopback, local_cluster::free_ports(1));
    daemon.health_address =
        fmt::format("{}:{}", loopback, local_cluster::free_ports(1));
    daemon.settings_path =
        fmt::format("{}/daemon-{}.json", options_.log_folder, number);
    const json settings = {
        {"daemon", fmt::format("d{}", number)},
        {"zone", "z"},
        {"region", "r"},
        {"address", loopback},
        {"peer_ports", {peer, peer}},
        {"advertised_peer", daemon.peer_relay->address()},
        {"listen",
         {{"callers", daemon.callers_address},
          {"health", daemon.health_address}}},
        {"store", daemon.store_relay->address()},
        {"tickets",
         fmt::format("{}:{}", loopback, ports_.at("tickets").get<int>())},
        {"limits", {{"processor_share", 1.0}, {"processors", 1}}},
        {"bounds",
         {{"stop_grace_s", 6},
          {"share_window_s", 5},
          {"share_slack", 20},
          {"longest_lease_ms", 10000},
          {"state_kept_s", 120}}}};
    std::ofstream(daemon.settings_path) << settings.dump(4);
}

void cell_cluster::start_daemon(int number)
{
    daemon_node& daemon = daemons_.at(static_cast<std::size_t>(number));
    daemon.process.reset();
    daemon.process = std::make_unique<local_cluster::child_process>(
        std::vector<std::string>{options_.build_folder + "/coltsfootrack-celld",
                                 "--settings", daemon.settings_path},
        fmt::format("{}/daemon-{}-{}", options_.log_folder, number,
                    daemon.starts++));
}

json cell_cluster::control(const json& body)
{
    http::request request;
    request.method = "POST";
    request.path = "/control";
    request.body = body.dump();
    const http::client_result result = client_.send(
        fmt::format("{}:{}", loopback, ports_.at("control").get<int>()),
        request, control_timeout);
    if (!result.ok() || result.answer.status != 200)
    {
        throw std::runtime_error("the stand-in refused or did not answer " +
                                 body.dump());
    }
    return json::parse(result.answer.body);
}

void cell_cluster::cut_store(int number, bool cut)
{
    local_cluster::tcp_relay& relay =
        *daemons_.at(static_cast<std::size_t>(number)).store_relay;
    if (cut)
    {
        relay.cut();
    }
    else
    {
        relay.heal();
    }
}

local_cluster::tcp_relay& cell_cluster::peer_relay(int number)
{
    return *daemons_.at(static_cast<std::size_t>(number)).peer_relay;
}

void cell_cluster::store_faults(int number, json faults)
{
    faults["action"] = "store";
    faults["port"] = number;
    control(faults);
}

void cell_cluster::worker_faults(int number, json faults)
{
    faults["action"] = "runner";
    faults["number"] = number;
    control(faults);
}

void cell_cluster::compact_store()
{
    control({{"action", "compact"}});
}

json cell_cluster::take_events()
{
    return control({{"action", "facts"}});
}

std::optional<int> cell_cluster::submit(int number, const std::string& id,
                                        const submitted_job& job)
{
    json steps = json::array();
    for (const submitted_step& step : job.steps)
    {
        steps.push_back({{"count", step.tasks},
                         {"cpu", step.cpu_milli},
                         {"mem_mb", 10},
                         {"estimate_ms", 200},
                         {"after", step.after}});
    }
    http::request request = request_for("POST", id);
    request.body = json{{"spec", job.payload}, {"steps", steps}}.dump();
    const auto result = client_.send(
        daemons_.at(static_cast<std::size_t>(number)).callers_address, request);
    return result.ok() ? std::optional<int>(result.answer.status)
                       : std::nullopt;
}

std::optional<int> cell_cluster::cancel(int number, const std::string& id)
{
    const auto result = client_.send(
        daemons_.at(static_cast<std::size_t>(number)).callers_address,
        request_for("DELETE", id));
    return result.ok() ? std::optional<int>(result.answer.status)
                       : std::nullopt;
}

std::string cell_cluster::state(int number, const std::string& id)
{
    const auto result = client_.send(
        daemons_.at(static_cast<std::size_t>(number)).callers_address,
        request_for("GET", id));
    if (!result.ok())
    {
        return "";
    }
    if (result.answer.status != 200)
    {
        return std::to_string(result.answer.status);
    }
    return json::parse(result.answer.body).at("state").get<std::string>();
}

bool cell_cluster::ready(int number)
{
    http::request request;
    request.path = "/-/ready";
    const auto result = client_.send(
        daemons_.at(static_cast<std::size_t>(number)).health_address, request,
        milliseconds(500));
    return result.ok() && result.answer.status == 200;
}

bool cell_cluster::wait_ready(milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        bool all = true;
        for (int i = 0; i < daemons(); ++i)
        {
            all = all && ready(i);
        }
        if (all)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

} // namespace coltsfootrack::soak
