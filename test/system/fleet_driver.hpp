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

// A started cluster of one system test, with the calls that the tests share.
// Expectations that do not hold fail the current CppUnit test.
//
// Thread safety: post may be called from any thread; the rest belongs to one
// thread.
class fleet_driver
{
public:
    // Starts the cluster in the folder "system-run/<name>".
    fleet_driver(const std::string& name, cluster_options options);

    cluster& fleet()
    {
        return fleet_;
    }

    // Sends a ticket through the daemon until it is accepted.
    void accept_ticket(std::size_t daemon, const sample_ticket& ticket);

    // Waits until all running daemons show at least the sequence.
    void wait_sequence(int sequence);

    http::response post(std::size_t daemon, const std::string& path,
                        const std::string& key, const nlohmann::json& body,
                        const std::string& idempotency_key = "");

    // Submits a job until a daemon accepts it.
    void submit(const std::vector<std::size_t>& daemons,
                const std::string& workload, const std::string& key,
                const std::string& id);

    // Whether the table shows the job as finished.
    bool finished(const std::string& id);

    // Waits until the zone's row names an owner and a candidate.
    void wait_candidate(const std::string& zone);

    // The value of a row of the table, or null.
    nlohmann::json row(const std::string& key);

    void store_faults(const nlohmann::json& faults);

    // Sets faults at one VM, or at all VMs of a role.
    void vm_faults(const std::string& name_or_role,
                   const nlohmann::json& faults);

    // All runs that the runners recorded, with the runner's name in each.
    nlohmann::json runner_history();

    // The number of tasks of a job that run now; all jobs for "".
    int running_tasks(const std::string& job = "");

    // Expects capacity, exclusive tasks and the limits to hold over all facts.
    void check_workers(const std::map<std::string, base::resources>& limits);

private:
    cluster fleet_;
};

// The name of the error in an answer, or "".
std::string error_of(const http::response& answer);

// Whether the answer claims that the work did not run.
bool says_did_not_run(const http::response& answer);

} // namespace coltsfootrack::local_cluster

#endif
