// The daemon coltsfootrackd: reads its settings, runs until SIGTERM, SIGINT or
// a drain request, and shuts down gracefully.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/daemon/daemon_process.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <getopt.h>
#include <sstream>
#include <string>

namespace
{

using namespace coltsfootrack;

constexpr const char* usage =
    "Usage: coltsfootrackd --settings FILE [--check-settings]\n"
    "\n"
    "  -s, --settings FILE   the settings, JSON with comments\n"
    "  -c, --check-settings  check the settings, report all errors, and exit\n"
    "  -v, --version         print the version and exit\n"
    "  -h, --help            print this text and exit\n";

struct arguments
{
    std::string settings;
    bool check_only = false;
};

// Reads the command line; exits for --help, --version and errors.
arguments read_arguments(int argc, char** argv)
{
    const std::array<option, 5> options = {
        {{"settings", required_argument, nullptr, 's'},
         {"check-settings", no_argument, nullptr, 'c'},
         {"version", no_argument, nullptr, 'v'},
         {"help", no_argument, nullptr, 'h'},
         {nullptr, 0, nullptr, 0}}};
    arguments result;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "s:cvh", options.data(),
                                 nullptr)) != -1)
    {
        switch (letter)
        {
        case 's':
            result.settings = optarg;
            break;
        case 'c':
            result.check_only = true;
            break;
        case 'v':
            fmt::print("coltsfootrackd {}\n", COLTSFOOTRACK_VERSION);
            std::exit(0);
        case 'h':
            fmt::print("{}", usage);
            std::exit(0);
        default:
            fmt::print(stderr, "{}", usage);
            std::exit(2);
        }
    }
    if (result.settings.empty() || optind != argc)
    {
        fmt::print(stderr, "{}", usage);
        std::exit(2);
    }
    return result;
}

// Blocks until SIGTERM, SIGINT or a drain request.
void wait_for_shutdown_request(const daemon::daemon_process& process,
                               const sigset_t& signals)
{
    const timespec interval{0, 200'000'000};
    while (!process.drain_requested())
    {
        if (sigtimedwait(&signals, nullptr, &interval) > 0)
        {
            return;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    const arguments given = read_arguments(argc, argv);
    std::ifstream file(given.settings);
    if (!file)
    {
        fmt::print(stderr, "coltsfootrackd: cannot read {}\n", given.settings);
        return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto settings = config::parse_settings(text.str());
    if (!settings.ok())
    {
        fmt::print(stderr, "{}: invalid settings\n{}\n", given.settings,
                   std::string(settings.status().message()));
        return 2;
    }
    if (given.check_only)
    {
        fmt::print("{}: settings are valid\n", given.settings);
        return 0;
    }
    base::set_log_level(settings->log_level);

    // All threads inherit the mask, so only the wait below receives signals.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    daemon::daemon_process process(*settings);
    const absl::Status status = process.start();
    if (!status.ok())
    {
        fmt::print(stderr, "coltsfootrackd: {}\n",
                   std::string(status.message()));
        return 2;
    }
    wait_for_shutdown_request(process, signals);
    process.shut_down();
    return 0;
}
