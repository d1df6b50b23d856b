#ifndef COLTSFOOTRACK_BENCH_CLUSTER_REQUEST_LOAD_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_REQUEST_LOAD_HPP_INCLUDED

#include "cluster.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace coltsfootrack::local_cluster
{

// The outcomes of a number of requests.
struct load_result
{
    // The number of requests by HTTP status; 0 is no complete answer.
    std::map<int, int> by_status;
    // The number of error answers by error kind.
    std::map<std::string, int> by_error;
    // The latencies of answers with status 200, in milliseconds, ascending.
    std::vector<double> latencies_ms;
    // The number of answers with status 200 that belong to another request.
    int mismatched = 0;

    // The `q` quantile of the latencies.
    double quantile_ms(double q) const;
};

// Sends `count` requests to a service through all running daemons in turn, from
// `threads` threads. Each request has a mark that its answer must return.
load_result send_requests(cluster& fleet, const std::string& service,
                          const std::string& key, int count, int threads,
                          int work_ms);

} // namespace coltsfootrack::local_cluster

#endif
