#ifndef COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_CLUSTER_OPTIONS_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::local_cluster
{

// The shape of a cluster of real processes on loopback.
struct cluster_options
{
    // Each zone with its region.
    std::vector<std::pair<std::string, std::string>> zones = {
        {"a1", "north"}, {"a2", "north"}, {"b1", "south"}};
    int daemons_per_zone = 1;
    int workers_per_zone = 6;
    base::resources worker_size = {32000, 131072, 0};
    // Further workers of each zone, with accelerators.
    int accelerator_workers_per_zone = 2;
    base::resources accelerator_worker_size = {32000, 65536, 8};
    // Runners of each zone for each of these services, with 8 slots each.
    std::vector<std::string> services = {"stream"};
    int runners_per_zone = 4;
    // The address that the settings of daemon `from` give for `target`, which
    // is "platform" or another daemon; lets a relay stand in between.
    std::function<std::string(const std::string& from,
                              const std::string& target,
                              const std::string& address)>
        route;
    // Folder for settings and logs; made if it is missing.
    std::string folder = "cluster";
    // Folder of the programs.
    std::string programs = ".";
};

} // namespace coltsfootrack::local_cluster

#endif
