#ifndef COLTSFOOTRACK_TEST_STANDINS_SUPPORT_CHILD_PROCESS_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_STANDINS_SUPPORT_CHILD_PROCESS_HPP_INCLUDED

#include <array>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace coltsfootrack::standins
{

// A started program from the build folder of the running test, for example a
// stand-in. The destructor ends it with SIGTERM.
class child_process
{
public:
    // Starts the program and waits for its "listening <port>" lines.
    child_process(const std::string& program,
                  const std::vector<std::string>& options,
                  std::size_t listening_lines)
    {
        std::array<int, 2> pipe{};
        if (::pipe(pipe.data()) != 0)
        {
            throw std::runtime_error("pipe");
        }
        const std::string path = build_folder() + "/" + program;
        std::vector<char*> arguments = {const_cast<char*>(path.c_str())};
        for (const std::string& option : options)
        {
            arguments.push_back(const_cast<char*>(option.c_str()));
        }
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
        posix_spawn_file_actions_addclose(&actions, pipe[0]);
        posix_spawn_file_actions_addclose(&actions, pipe[1]);
        const int failed = posix_spawn(&process_, path.c_str(), &actions,
                                       nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        ::close(pipe[1]);
        output_ = ::fdopen(pipe[0], "r");
        if (failed != 0)
        {
            throw std::runtime_error("cannot start " + path);
        }
        unsigned port = 0;
        while (ports_.size() < listening_lines &&
               std::fscanf(output_, " listening %u", &port) == 1) // NOLINT
        {
            ports_.push_back(static_cast<std::uint16_t>(port));
        }
        if (ports_.size() < listening_lines)
        {
            throw std::runtime_error(path + " does not listen");
        }
    }

    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    ~child_process()
    {
        ::kill(process_, SIGTERM);
        ::waitpid(process_, nullptr, 0);
        std::fclose(output_);
    }

    // The numeric address of a port, in the order of the "listening" lines.
    std::string address(std::size_t index = 0) const
    {
        return "127.0.0.1:" + std::to_string(ports_.at(index));
    }

    pid_t process() const
    {
        return process_;
    }

private:
    static std::string build_folder()
    {
        std::array<char, 4096> path{};
        const ssize_t size =
            ::readlink("/proc/self/exe", path.data(), path.size());
        const std::string text(path.data(), size > 0 ? size : 0);
        return text.substr(0, text.rfind('/'));
    }

    pid_t process_ = -1;
    std::FILE* output_ = nullptr;
    std::vector<std::uint16_t> ports_;
};

} // namespace coltsfootrack::standins

#endif
