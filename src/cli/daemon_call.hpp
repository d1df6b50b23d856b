#ifndef COLTSFOOTRACK_CLI_DAEMON_CALL_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_DAEMON_CALL_HPP_INCLUDED

#include "environment.hpp"
#include "options.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace coltsfootrack::cli
{

// What may be done with a request whose outcome is unknown.
enum class repetition
{
    // It has the same effect when it is sent twice, so the next daemon may be
    // tried.
    safe,
    // It must not be sent again.
    unsafe
};

// Sends a request to the daemons of --server, one after the other, until one
// answers it. The next one is tried if nothing was sent, if the daemon refused
// with a retryable error that proves that the request did not run, and after
// any other retryable error if repetition is safe.
//
// Returns the JSON object of the answer. If all daemons failed, returns the
// first error that leaves the outcome unknown, or else the last error; the
// detail lists what each daemon said.
absl::StatusOr<nlohmann::json> call_daemon(const options& given,
                                           const environment& outside,
                                           const http::request& message,
                                           repetition repeat);

// The team's key from --key-file or COLTSFOOTRACK_KEY. key_missing if there is
// none. Keys are never taken from the command line, which other users of the
// VM can read.
absl::StatusOr<std::string> team_key(const options& given,
                                     const environment& outside);

} // namespace coltsfootrack::cli

#endif
