#ifndef COLTSFOOTRACK_CLI_OUTPUT_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_OUTPUT_HPP_INCLUDED

#include "environment.hpp"
#include "options.hpp"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace coltsfootrack::cli
{

// Prints a result: one line of JSON with --json, otherwise text.
void print_result(const options& opts, const environment& env,
                  const nlohmann::json& result);

// Prints an error to the error stream and returns the exit status of its kind.
// With --json, prints one line in the form of the daemon's error bodies;
// otherwise text that ends with the advice.
int print_error(bool json, const environment& env, const absl::Status& error);

} // namespace coltsfootrack::cli

#endif
