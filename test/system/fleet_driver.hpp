#ifndef COLTSFOOTRACK_TEST_SYSTEM_FLEET_DRIVER_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SYSTEM_FLEET_DRIVER_HPP_INCLUDED

#include "cluster.hpp"
#include "sample_ticket.hpp"

#include <coltsfootrack/base/resources.hpp>

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// The cluster of a system test, with the operations that the tests share. An
// operation that fails or times out fails the current CppUnit test.
//
// Thread safety: post may be called from any thread; the rest belongs to one
// thread.
class fleet_driver
{
public:
    // Starts the cluster, with its files in the folder "system-run/<name>".
    fleet_driver(const std::string& name, cluster_options options);

    cluster& fleet()
    {
        return fleet_;
    }

    // Sends a ticket to the daemon until it is accepted.
    void accept_ticket(std::size_t daemon, const sample_ticket& ticket);

    // Waits until all running daemons show at least this configuration
    // sequence.
    void wait_sequence(int sequence);

    http::response post(std::size_t daemon, const std::string& path,
                        const std::string& key, const nlohmann::json& body,
                        const std::string& idempotency_key = "");

    // Submits a job to the daemons in turn until one accepts it.
    void submit(const std::vector<std::size_t>& daemons,
                const std::string& workload, const std::string& key,
                const std::string& id);

    // Whether the table has the job as finished.
    bool finished(const std::string& id);

    // Waits until the zone's owner row names a candidate.
    void wait_candidate(const std::string& zone);

    // The value of a row of the table, or null.
    nlohmann::json row(const std::string& key);

    void store_faults(const nlohmann::json& faults);

    // Sets faults of one VM, or of all VMs of a role.
    void vm_faults(const std::string& name_or_role,
                   const nlohmann::json& faults);

    // All runs that the runners recorded, with the runner's name in each.
    nlohmann::json runner_history();

    // The number of running tasks of a job; of all jobs for "".
    int running_tasks(const std::string& job = "");

    // Checks capacity, exclusive tasks and limits over the whole worker
    // history.
    void check_workers(const std::map<std::string, base::resources>& limits);

private:
    cluster fleet_;
};

// The error name in an answer, or "".
std::string error_of(const http::response& answer);

// Whether the answer states that the request did not run.
bool says_did_not_run(const http::response& answer);

} // namespace coltsfootrack::local_cluster

#endif
