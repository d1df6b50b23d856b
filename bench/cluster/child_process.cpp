// Starts, signals and kills child processes.

#include "child_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace coltsfootrack::local_cluster
{

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& log)
    : log_(log)
{
    const std::string out = log + ".out";
    const std::string err = log + ".err";
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
    {
        arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0)
    {
        return;
    }
    // Only async-signal-safe functions may be called between fork and exec.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    dup2(open(out.c_str(), flags, 0644), STDOUT_FILENO);
    dup2(open(err.c_str(), flags, 0644), STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
}

child_process::~child_process()
{
    kill();
}

void child_process::send_signal(int signal) const
{
    if (pid_ > 0)
    {
        ::kill(pid_, signal);
    }
}

std::optional<int> child_process::wait(std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (pid_ > 0)
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            pid_ = -1;
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (std::chrono::steady_clock::now() >= end)
        {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return std::nullopt;
}

void child_process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

std::string child_process::output() const
{
    std::ifstream file(log_ + ".out");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace coltsfootrack::local_cluster
