#ifndef COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::local_cluster
{

// The size of a cluster of real processes on loopback, and its folders.
struct cluster_options
{
    // The name and region of each zone.
    std::vector<std::pair<std::string, std::string>> zones = {
        {"a1", "north"}, {"a2", "north"}, {"b1", "south"}};
    int daemons_per_zone = 1;
    int workers_per_zone = 6;
    base::resources worker_size = {32000, 131072, 0};
    // Additional workers of each zone, with accelerators.
    int accelerator_workers_per_zone = 2;
    base::resources accelerator_worker_size = {32000, 65536, 8};
    // Each zone has runners_per_zone runners with 8 slots for each service.
    std::vector<std::string> services = {"stream"};
    int runners_per_zone = 4;
    // Returns the address that the settings of daemon `from` contain for
    // `target`, which is "platform" or a daemon, for example that of a relay.
    std::function<std::string(const std::string& from,
                              const std::string& target,
                              const std::string& address)>
        route;
    // The folder of settings and logs; it is deleted and created again.
    std::string folder = "cluster";
    // The folder of the programs.
    std::string programs = ".";
};

} // namespace coltsfootrack::local_cluster

#endif
