#ifndef COLTSFOOTRACK_CLI_OPTIONS_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_OPTIONS_HPP_INCLUDED

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::cli
{

// The parsed command line.
struct options
{
    // --server, in the order given.
    std::vector<std::string> servers;
    bool json = false;
    bool help = false;
    bool version = false;
    std::string key_file;
    std::string team;
    std::string id;
    std::string idempotency_key;
    // Zero if not given.
    std::uint32_t tasks = 0;
    // The time limit for one request to one daemon. Longer than the daemon's
    // own wait for a slow store.
    std::chrono::milliseconds timeout{10'000};
    // The names of the options that were given, without dashes.
    std::vector<std::string> option_names;
    // The positional arguments: the command and its arguments.
    std::vector<std::string> words;
};

// Parses the arguments after the program's name. Options may stand before,
// between and after positional arguments; "--" ends them. Unknown options,
// missing and invalid values give invalid_request.
//
// Thread safety: uses getopt_long, which has global state; one call at a time.
absl::StatusOr<options>
parse_options(const std::vector<std::string>& arguments);

// The line of an option in --help, with its argument and purpose. Empty for an
// unknown name.
std::string option_help(std::string_view name);

} // namespace coltsfootrack::cli

#endif
