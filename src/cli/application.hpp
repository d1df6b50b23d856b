#ifndef COLTSFOOTRACK_CLI_APPLICATION_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_APPLICATION_HPP_INCLUDED

#include "environment.hpp"

#include <string>
#include <vector>

namespace coltsfootrack::cli
{

// Runs the command that the arguments name and returns the exit status: 0, or
// the exit code of the error's kind.
//
// Thread safety: one call at a time, because getopt_long has global state.
int run(const std::vector<std::string>& arguments, const environment& env);

} // namespace coltsfootrack::cli

#endif
