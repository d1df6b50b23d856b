#ifndef COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_HPP_INCLUDED

#include "child_process.hpp"
#include "cluster_options.hpp"

#include <coltsfootrack/http/client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// Runs the stand-ins of the platform, workers and runners, and daemons, as
// processes on loopback.
//
//     cluster fleet(options);
//     fleet.start();
//     fleet.call(0, {"POST", "/v1/tickets", {}, {}, ticket.text()});
//     fleet.call(0, {"POST", "/v1/jobs", {}, {}, body});
//
// The destructor kills all processes.
//
// Thread safety: call and call_address may be called from any thread; the rest
// belongs to one thread.
class cluster
{
public:
    struct daemon_node
    {
        std::string id;
        std::string zone;
        std::string region;
        std::uint16_t http_port = 0;
        std::uint16_t peer_port = 0;
        std::unique_ptr<child_process> process;
    };

    explicit cluster(cluster_options options);

    // Starts all processes and waits until each zone has an acting owner; false
    // if that takes more than 60 s.
    bool start();

    // Starts or restarts the process of a daemon.
    void start_daemon(std::size_t index);

    std::vector<daemon_node>& daemons()
    {
        return daemons_;
    }

    // The index of the daemon whose status shows it as the acting owner of the
    // zone, or -1.
    int owner_of(const std::string& zone);

    // Sends a request to a daemon. Without an answer, the status is 0 and the
    // body is the error message.
    http::response call(std::size_t daemon, const http::request& message);
    http::response call_address(const std::string& address,
                                const http::request& message);

    // Calls a control endpoint of the platform stand-in.
    nlohmann::json platform(const std::string& method, const std::string& path,
                            const nlohmann::json& body);

    // The recorded events of all workers, each with the name of its worker.
    nlohmann::json worker_history();

    // Changes the state of a VM in the list of the platform, after a lag.
    void set_vm_state(const std::string& name, const std::string& state,
                      int lag_ms);

    // Waits until the condition holds; false after the timeout.
    static bool wait_for(const std::function<bool()>& condition,
                         std::chrono::milliseconds timeout);

    const std::string& platform_address() const
    {
        return platform_address_;
    }

    const nlohmann::json& vms() const
    {
        return vms_;
    }

private:
    std::unique_ptr<child_process> launch(const std::string& program,
                                          std::vector<std::string> arguments,
                                          const std::string& log);
    std::uint16_t wait_listening(const child_process& process, int count);
    void start_workers();
    void start_runners();
    void publish_vms(int lag_ms);
    void write_settings(const daemon_node& node);

    cluster_options options_;
    http::client client_;
    std::string platform_address_;
    nlohmann::json vms_ = nlohmann::json::array();
    std::vector<std::unique_ptr<child_process>> standins_;
    std::vector<daemon_node> daemons_;
};

// The first of `count` consecutive TCP ports on loopback that were free at the
// time of the call.
std::uint16_t free_ports(int count);

} // namespace coltsfootrack::local_cluster

#endif
