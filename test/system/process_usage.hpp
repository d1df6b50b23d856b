#ifndef COLTSFOOTRACK_TEST_SYSTEM_PROCESS_USAGE_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SYSTEM_PROCESS_USAGE_HPP_INCLUDED

#include <sys/types.h>

namespace coltsfootrack::system_test
{

// What a process has used so far, from /proc.
struct process_usage
{
    double cpu_seconds = 0;
    double rss_mb = 0;
    int threads = 0;
};

// All zero if the process does not exist.
process_usage usage_of(pid_t pid);

} // namespace coltsfootrack::system_test

#endif
