#ifndef COLTSFOOTRACK_TEST_STANDINS_CLUSTER_CELL_CLUSTER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_CLUSTER_CELL_CLUSTER_HPP_INCLUDED

#include "child_process.hpp"
#include "soak/history_checker.hpp"
#include "system/tcp_relay.hpp"

#include <coltsfootrack/http/client.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coltsfootrack::soak
{

// The size of a cluster, and the folders of its programs and logs.
struct cluster_options
{
    std::string build_folder;
    std::string log_folder;
    int daemons = 3;
    int workers = 6;
    std::int64_t worker_cpu_milli = 4000;
    std::uint64_t seed = 1;
};

// The stand-in of the users' platform and the daemons of one cell, as processes
// on loopback. Each daemon has two relays of its own: one for its connections
// to the store, one for the connections of its peers.
//
// Thread safety: none.
class cell_cluster
{
public:
    // Starts all programs. Throws std::runtime_error if the platform's stand-in
    // does not start.
    explicit cell_cluster(const cluster_options& options);

    void start_daemon(int number);

    // The process of a daemon; it may have ended.
    local_cluster::child_process& daemon(int number)
    {
        return *daemons_.at(static_cast<std::size_t>(number)).process;
    }

    // Cuts or heals the connections of a daemon to the store.
    void cut_store(int number, bool cut);

    // The relay through which peers connect to a daemon.
    local_cluster::tcp_relay& peer_relay(int number);

    // The relay between a daemon and the store.
    local_cluster::tcp_relay& store_relay(int number)
    {
        return *daemons_.at(static_cast<std::size_t>(number)).store_relay;
    }

    // Sets the faults of the store for one daemon, in the form of the control
    // protocol of the stand-in.
    void store_faults(int number, nlohmann::json faults);

    // Sets the faults of a worker, in the form of the control protocol.
    void worker_faults(int number, nlohmann::json faults);

    // Writes the same configuration with the next version; returns the version.
    int change_config();

    // Makes the store drop its history of changes.
    void compact_store();

    // Submits a job to a daemon; the status, or nothing without an answer.
    std::optional<int> submit(int number, const std::string& id,
                              const submitted_job& job);

    // Cancels a job; the status, or nothing without an answer.
    std::optional<int> cancel(int number, const std::string& id);

    // The state of a job as a daemon shows it; the status of an answer other
    // than 200; "" without an answer.
    std::string state(int number, const std::string& id);

    // Whether the health endpoint of a daemon answers 200.
    bool ready(int number);

    bool wait_ready(std::chrono::milliseconds limit);

    // The events at the workers since the last call.
    nlohmann::json take_events();

    int daemons() const
    {
        return static_cast<int>(daemons_.size());
    }

private:
    struct daemon_node
    {
        std::string settings_path;
        std::string callers_address;
        std::string health_address;
        int starts = 0;
        std::unique_ptr<local_cluster::tcp_relay> store_relay;
        std::unique_ptr<local_cluster::tcp_relay> peer_relay;
        std::unique_ptr<local_cluster::child_process> process;
    };

    nlohmann::json control(const nlohmann::json& body);
    void write_config();
    void write_settings(daemon_node& daemon, int number);

    cluster_options options_;
    http::client client_;
    std::unique_ptr<local_cluster::child_process> platform_;
    nlohmann::json ports_;
    int config_version_ = 0;
    std::vector<daemon_node> daemons_;
};

// A random job id in the format of the platform.
std::string random_id(std::mt19937_64& random);

} // namespace coltsfootrack::soak

#endif
