#ifndef COLTSFOOTRACK_CLI_DAEMON_CALL_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_DAEMON_CALL_HPP_INCLUDED

#include "environment.hpp"
#include "options.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace coltsfootrack::cli
{

// Whether a request may be retried when its outcome is unknown.
enum class idempotency
{
    // Sending it twice has the same effect, so the next daemon may be tried.
    idempotent,
    // It must not be sent again.
    not_idempotent
};

// Sends a request to the daemons of --server in turn until one answers it. The
// next one is tried if nothing was sent, if the daemon refused with a retryable
// error that proves that the request did not run, and after any other retryable
// error if the request is idempotent.
//
// Returns the JSON object of the answer. If all daemons failed, returns the
// first error that leaves the outcome unknown, or else the last error; the
// detail lists the error of each daemon.
absl::StatusOr<nlohmann::json> call_daemon(const options& opts,
                                           const environment& env,
                                           const http::request& request,
                                           idempotency kind);

// The team's key from --key-file or COLTSFOOTRACK_KEY. key_missing if there is
// none. Keys are never taken from the command line, which other users of the
// VM can see.
absl::StatusOr<std::string> team_key(const options& opts,
                                     const environment& env);

} // namespace coltsfootrack::cli

#endif
