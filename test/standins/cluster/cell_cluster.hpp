#ifndef COLTSFOOTRACK_TEST_STANDINS_CLUSTER_CELL_CLUSTER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_CLUSTER_CELL_CLUSTER_HPP_INCLUDED

#include "child_process.hpp"
#include "soak/fact_checker.hpp"
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

// The size of a cluster, and where its programs and logs are.
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
// on loopback. Each daemon reaches the store over a relay of its own, and is
// reached by its peers over another.
//
// Thread safety: none.
class cell_cluster
{
public:
    // Starts everything. Throws std::runtime_error if a program does not come
    // up.
    explicit cell_cluster(const cluster_options& options);

    void start_daemon(int number);

    // A daemon's process; it may have ended.
    local_cluster::child_process& daemon(int number)
    {
        return *daemons_.at(static_cast<std::size_t>(number)).process;
    }

    // Cuts or heals the way of a daemon to the store.
    void cut_store(int number, bool cut);

    // The relay that other daemons connect to this one over.
    local_cluster::tcp_relay& peers(int number);

    // The relay between a daemon and the store.
    local_cluster::tcp_relay& store(int number)
    {
        return *daemons_.at(static_cast<std::size_t>(number)).store;
    }

    // Faults of the store towards one daemon, as the stand-in takes them.
    void store_faults(int number, nlohmann::json faults);

    // Faults of a worker, as the stand-in takes them.
    void worker_faults(int number, nlohmann::json faults);

    // Writes the configuration again under the next version, which it returns.
    int change_config();

    // The store drops its history of changes.
    void compact_store();

    // Hands a job in at a daemon; the status, or nothing without an answer.
    std::optional<int> submit(int number, const std::string& id,
                              const known_job& job);

    // Cancels a job; the status, or nothing.
    std::optional<int> cancel(int number, const std::string& id);

    // The state that a daemon shows, or its status as text, or nothing.
    std::string state(int number, const std::string& id);

    // Whether a daemon says that it serves.
    bool ready(int number);

    bool wait_ready(std::chrono::milliseconds limit);

    // What happened at the workers since the last call.
    nlohmann::json facts();

    int daemons() const
    {
        return static_cast<int>(daemons_.size());
    }

private:
    struct hosted
    {
        std::string settings_path;
        std::string callers;
        std::string health;
        int starts = 0;
        std::unique_ptr<local_cluster::tcp_relay> store;
        std::unique_ptr<local_cluster::tcp_relay> peers;
        std::unique_ptr<local_cluster::child_process> process;
    };

    nlohmann::json control(const nlohmann::json& body);
    void write_config();
    void write_settings(hosted& daemon, int number);

    cluster_options options_;
    http::client client_;
    std::unique_ptr<local_cluster::child_process> platform_;
    nlohmann::json ports_;
    int config_version_ = 0;
    std::vector<hosted> daemons_;
};

// A job id of the platform's form.
std::string random_id(std::mt19937_64& random);

} // namespace coltsfootrack::soak

#endif
