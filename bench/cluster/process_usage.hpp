#ifndef COLTSFOOTRACK_BENCH_CLUSTER_PROCESS_USAGE_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_PROCESS_USAGE_HPP_INCLUDED

#include <sys/types.h>

namespace coltsfootrack::local_cluster
{

// The resources that a process has used so far, from /proc.
struct process_usage
{
    double cpu_seconds = 0;
    double rss_mb = 0;
    int threads = 0;
};

// All values are 0 if the process does not exist.
process_usage usage_of(pid_t pid);

} // namespace coltsfootrack::local_cluster

#endif
