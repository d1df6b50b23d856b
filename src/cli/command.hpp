#ifndef COLTSFOOTRACK_CLI_COMMAND_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_COMMAND_HPP_INCLUDED

#include "environment.hpp"
#include "options.hpp"

#include <absl/status/status.h>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace coltsfootrack::cli
{

// One command of the command line tool.
struct command
{
    // The words that select it, for example "ticket apply".
    std::string name;
    // The arguments after the name, for example {"FILE"}.
    std::vector<std::string> arguments;
    // One sentence for the list of commands.
    std::string summary;
    // The options that it accepts, besides --json and --help.
    std::vector<std::string> options;
    // Runs the command; options::words holds only its arguments.
    std::function<absl::Status(const cli::options&, const environment&)> run;
};

// The commands by group.
std::vector<command> ticket_commands();
std::vector<command> key_commands();
std::vector<command> job_commands();
std::vector<command> daemon_commands();

} // namespace coltsfootrack::cli

#endif
