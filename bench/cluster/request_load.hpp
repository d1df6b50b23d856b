#ifndef COLTSFOOTRACK_BENCH_CLUSTER_REQUEST_LOAD_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_REQUEST_LOAD_HPP_INCLUDED

#include "cluster.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// What became of a number of requests.
struct load_result
{
    // By HTTP status; 0 for no complete answer.
    std::map<int, int> by_status;
    // By error kind, of the answers that are errors.
    std::map<std::string, int> by_error;
    // The times of the answers with status 200, in milliseconds, ascending.
    std::vector<double> times_ms;
    // Answers with status 200 that were not for the request.
    int foreign = 0;

    // The time below which the part `q` of the requests stayed.
    double quantile_ms(double q) const;
};

// Sends `count` requests to a service through all running daemons in turn, from
// `threads` threads, each with a body of its own that the runner must return.
load_result send_requests(cluster& fleet, const std::string& service,
                          const std::string& key, int count, int threads,
                          int work_ms);

} // namespace coltsfootrack::local_cluster

#endif
