// Starts and controls a cluster of real processes on loopback.

#include "cluster.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace coltsfootrack::local_cluster
{
namespace
{

using std::chrono::milliseconds;

http::client_options make_options()
{
    http::client_options options;
    options.total_timeout = milliseconds(12000);
    options.max_idle_connections = 64;
    return options;
}

bool is_free(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        listen(fd, 1) == 0;
    close(fd);
    return free;
}

} // namespace

std::uint16_t free_ports(int count)
{
    // Below the ephemeral port range of the system. The first port differs
    // between processes.
    static int next = 10000 + static_cast<int>(getpid() % 400) * 50;
    for (int tries = 0; tries < 2000; ++tries)
    {
        if (next + count > 32000)
        {
            next = 10000;
        }
        bool free = true;
        for (int i = 0; i < count && free; ++i)
        {
            free = is_free(static_cast<std::uint16_t>(next + i));
        }
        const auto first = static_cast<std::uint16_t>(next);
        next += free ? count : 1;
        if (free)
        {
            return first;
        }
    }
    throw std::runtime_error("no free ports on loopback");
}

cluster::cluster(cluster_options options)
    : options_(std::move(options))
    , client_(make_options())
{
    std::filesystem::remove_all(options_.folder);
    std::filesystem::create_directories(options_.folder);
}

std::unique_ptr<child_process>
cluster::launch(const std::string& program, std::vector<std::string> arguments,
                const std::string& log)
{
    arguments.insert(arguments.begin(), options_.programs + "/" + program);
    return std::make_unique<child_process>(arguments,
                                           options_.folder + "/" + log);
}

std::uint16_t cluster::wait_listening(const child_process& process, int count)
{
    std::uint16_t port = 0;
    const bool ready = wait_for(
        [&]
        {
            const std::string text = process.output();
            const auto lines = std::count(text.begin(), text.end(), '\n');
            const auto found = text.find("listening ");
            if (lines < count || found == std::string::npos)
            {
                return false;
            }
            port = static_cast<std::uint16_t>(
                std::strtoul(text.c_str() + found + 10, nullptr, 10));
            return true;
        },
        milliseconds(10000));
    if (!ready)
    {
        throw std::runtime_error("a stand-in did not listen within 10 s");
    }
    return port;
}

bool cluster::start()
{
    standins_.push_back(launch("standin-platform", {}, "platform"));
    platform_address_ =
        fmt::format("127.0.0.1:{}", wait_listening(*standins_.back(), 1));
    start_workers();
    start_runners();
    int number = 0;
    for (int i = 0; i < options_.daemons_per_zone; ++i)
    {
        for (const auto& [zone, region] : options_.zones)
        {
            daemon_node node;
            node.id = fmt::format("d{}", ++number);
            node.zone = zone;
            node.region = region;
            node.http_port = free_ports(2);
            node.peer_port = static_cast<std::uint16_t>(node.http_port + 1);
            vms_.push_back(
                {{"name", node.id},
                 {"role", "entry"},
                 {"zone", zone},
                 {"region", region},
                 {"rack", zone + "-e"},
                 {"address", fmt::format("127.0.0.1:{}", node.http_port)},
                 {"state", "live"},
                 {"cpu_milli", 2000},
                 {"memory_mb", 4096},
                 {"accelerators", 0}});
            daemons_.push_back(std::move(node));
        }
    }
    publish_vms(0);
    for (const daemon_node& node : daemons_)
    {
        write_settings(node);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        start_daemon(i);
    }
    return wait_for(
        [this]
        {
            return std::all_of(options_.zones.begin(), options_.zones.end(),
                               [this](const auto& zone)
                               { return owner_of(zone.first) >= 0; });
        },
        milliseconds(60000));
}

void cluster::start_daemon(std::size_t index)
{
    daemon_node& node = daemons_[index];
    node.process = launch(
        "coltsfootrackd",
        {"--settings", options_.folder + "/" + node.id + ".json"}, node.id);
}

void cluster::write_settings(const daemon_node& node)
{
    const auto route =
        [&](const std::string& target, const std::string& address)
    {
        return options_.route ? options_.route(node.id, target, address)
                              : address;
    };
    auto peers = nlohmann::json::array();
    for (const daemon_node& other : daemons_)
    {
        if (other.id != node.id)
        {
            peers.push_back(
                {{"id", other.id},
                 {"zone", other.zone},
                 {"region", other.region},
                 {"peer", route(other.id,
                                fmt::format("127.0.0.1:{}", other.peer_port))},
                 {"http", route(other.id, fmt::format("127.0.0.1:{}",
                                                      other.http_port))}});
        }
    }
    const nlohmann::json settings = {
        {"id", node.id},
        {"zone", node.zone},
        {"region", node.region},
        {"http", fmt::format("127.0.0.1:{}", node.http_port)},
        {"peer", fmt::format("127.0.0.1:{}", node.peer_port)},
        {"peers", peers},
        {"platform", route("platform", platform_address_)}};
    std::ofstream(options_.folder + "/" + node.id + ".json")
        << settings.dump(2) << "\n";
}

void cluster::start_workers()
{
    for (const auto& [zone, region] : options_.zones)
    {
        const int plain = options_.workers_per_zone;
        const int total = plain + options_.accelerator_workers_per_zone;
        const std::uint16_t first = free_ports(total);
        standins_.push_back(
            launch("standin-worker",
                   {"--count", std::to_string(total), "--first-port",
                    std::to_string(first), "--name", "w-" + zone},
                   "workers-" + zone));
        wait_listening(*standins_.back(), total);
        for (int i = 0; i < total; ++i)
        {
            const bool accelerated = i >= plain;
            const base::resources& size = accelerated
                                              ? options_.accelerator_worker_size
                                              : options_.worker_size;
            const int rack = accelerated ? (i - plain) / 3 : i / 5;
            vms_.push_back(
                {{"name", fmt::format("w-{}-{}", zone, i)},
                 {"role", "worker"},
                 {"zone", zone},
                 {"region", region},
                 {"rack",
                  fmt::format("{}-{}{}", zone, accelerated ? "x" : "r", rack)},
                 {"address", fmt::format("127.0.0.1:{}", first + i)},
                 {"state", "live"},
                 {"cpu_milli", size.cpu_milli},
                 {"memory_mb", size.memory_mb},
                 {"accelerators", size.accelerators}});
        }
    }
}

void cluster::start_runners()
{
    for (const auto& [zone, region] : options_.zones)
    {
        const int per_service = options_.runners_per_zone;
        const int total =
            per_service * static_cast<int>(options_.services.size());
        if (total == 0)
        {
            continue;
        }
        const std::uint16_t first = free_ports(total);
        standins_.push_back(launch("standin-runner",
                                   {"--count", std::to_string(total),
                                    "--first-port", std::to_string(first)},
                                   "runners-" + zone));
        wait_listening(*standins_.back(), total);
        for (int i = 0; i < total; ++i)
        {
            vms_.push_back(
                {{"name", fmt::format("r-{}-{}", zone, i)},
                 {"role", "runner"},
                 {"zone", zone},
                 {"region", region},
                 {"rack", zone + "-s"},
                 {"address", fmt::format("127.0.0.1:{}", first + i)},
                 {"state", "live"},
                 {"service",
                  options_.services[static_cast<std::size_t>(i / per_service)]},
                 {"slots", 8},
                 {"cpu_milli", 0},
                 {"memory_mb", 0},
                 {"accelerators", 0}});
        }
    }
}

void cluster::publish_vms(int lag_ms)
{
    platform("PUT", "/control/vms", {{"vms", vms_}, {"lag_ms", lag_ms}});
}

void cluster::set_vm_state(const std::string& name, const std::string& state,
                           int lag_ms)
{
    for (nlohmann::json& vm : vms_)
    {
        if (vm["name"] == name)
        {
            vm["state"] = state;
        }
    }
    publish_vms(lag_ms);
}

int cluster::owner_of(const std::string& zone)
{
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        if (daemons_[i].zone != zone || !daemons_[i].process ||
            !daemons_[i].process->running())
        {
            continue;
        }
        http::request message;
        message.path = "/v1/status";
        const http::response answer = call(i, message);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object() &&
            body.value("is_owner", false) && body.value("acting", false))
        {
            return static_cast<int>(i);
        }
    }
    return -1;
}

http::response cluster::call(std::size_t daemon, const http::request& message)
{
    return call_address(fmt::format("127.0.0.1:{}", daemons_[daemon].http_port),
                        message);
}

http::response cluster::call_address(const std::string& address,
                                     const http::request& message)
{
    const http::client_result result = client_.send(address, message);
    if (!result.ok())
    {
        http::response none;
        none.status = 0;
        none.body = std::string(result.status.message());
        return none;
    }
    return result.answer;
}

nlohmann::json cluster::platform(const std::string& method,
                                 const std::string& path,
                                 const nlohmann::json& body)
{
    http::request message;
    message.method = method;
    message.path = path;
    if (!body.is_null())
    {
        message.body = body.dump();
    }
    const http::response answer = call_address(platform_address_, message);
    if (answer.status != 200)
    {
        throw std::runtime_error("control call to the platform failed: " +
                                 answer.body);
    }
    return nlohmann::json::parse(answer.body);
}

nlohmann::json cluster::worker_history()
{
    auto all = nlohmann::json::array();
    for (const nlohmann::json& vm : vms_)
    {
        if (vm["role"] != "worker")
        {
            continue;
        }
        http::request message;
        message.path = "/control/history";
        const http::response answer =
            call_address(vm["address"].get<std::string>(), message);
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (!body.is_object())
        {
            throw std::runtime_error("a worker did not return its history");
        }
        for (nlohmann::json event : body.at("history"))
        {
            event["worker"] = vm["name"];
            all.push_back(std::move(event));
        }
    }
    return all;
}

bool cluster::wait_for(const std::function<bool()>& condition,
                       std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (;;)
    {
        if (condition())
        {
            return true;
        }
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
}

} // namespace coltsfootrack::local_cluster
