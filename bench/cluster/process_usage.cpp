// Reads /proc/<pid>/stat and /proc/<pid>/statm.

#include "process_usage.hpp"

#include <fmt/core.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace coltsfootrack::local_cluster
{

process_usage usage_of(pid_t pid)
{
    process_usage usage;
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string line;
    if (!std::getline(file, line))
    {
        return usage;
    }
    // The command name in parentheses may contain spaces; field 3 follows it.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 3; i < 14; ++i)
    {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    for (int i = 16; i < 20; ++i)
    {
        fields >> skipped;
    }
    fields >> usage.threads;
    usage.cpu_seconds = static_cast<double>(user + system) /
                        static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream memory(fmt::format("/proc/{}/statm", pid));
    long total = 0;
    long resident = 0;
    memory >> total >> resident;
    usage.rss_mb = static_cast<double>(resident) *
                   static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    return usage;
}

} // namespace coltsfootrack::local_cluster
