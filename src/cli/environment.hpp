#ifndef COLTSFOOTRACK_CLI_ENVIRONMENT_HPP_INCLUDED
#define COLTSFOOTRACK_CLI_ENVIRONMENT_HPP_INCLUDED

#include <coltsfootrack/base/random_source.hpp>
#include <coltsfootrack/http/client_result.hpp>
#include <coltsfootrack/http/request.hpp>

#include <absl/status/statusor.h>
#include <chrono>
#include <cstddef>
#include <functional>
#include <iosfwd>
#include <string>

namespace coltsfootrack::cli
{

// The external dependencies of the commands, so that tests can replace them.
struct environment
{
    // Sends a request to a numeric address and waits up to the timeout.
    std::function<http::client_result(const std::string& address,
                                      const http::request& request,
                                      std::chrono::milliseconds timeout)>
        send;
    // The content of a file, or of standard input for "-"; invalid_request if
    // it cannot be read or is longer than max_bytes.
    std::function<absl::StatusOr<std::string>(const std::string& path,
                                              std::size_t max_bytes)>
        read_file;
    // The value of an environment variable; empty if it is not set.
    std::function<std::string(const std::string& name)> variable;
    // Cryptographically secure; for keys and idempotency keys.
    base::random_source random;
    // Receives results.
    std::ostream* out = nullptr;
    // Receives errors.
    std::ostream* err = nullptr;
};

} // namespace coltsfootrack::cli

#endif
