#ifndef COLTSFOOTRACK_BENCH_CLUSTER_CHILD_PROCESS_HPP_INCLUDED
#define COLTSFOOTRACK_BENCH_CLUSTER_CHILD_PROCESS_HPP_INCLUDED

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace coltsfootrack::local_cluster
{

// A child process. The destructor kills it.
//
// Thread safety: none.
class child_process
{
public:
    // Starts the program. Standard output is appended to `<log>.out`, standard
    // error to `<log>.err`. The program is killed if this process ends.
    child_process(const std::vector<std::string>& command,
                  const std::string& log);

    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send_signal(int signal) const;

    // Waits until the program ends. Returns the exit status, 128 + signal if it
    // was killed, or nothing after the timeout.
    std::optional<int> wait(std::chrono::milliseconds timeout);

    // Kills the program and waits until it has ended.
    void kill();

    bool running() const
    {
        return pid_ > 0;
    }

    pid_t pid() const
    {
        return pid_;
    }

    // The standard output so far.
    std::string output() const;

private:
    std::string log_;
    pid_t pid_ = -1;
};

} // namespace coltsfootrack::local_cluster

#endif
