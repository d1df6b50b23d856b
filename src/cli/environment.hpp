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

// All that a command uses of the outside world, so that tests can replace it.
struct environment
{
    // Sends a request to a numeric address and waits at most for the time.
    std::function<http::client_result(const std::string& address,
                                      const http::request& message,
                                      std::chrono::milliseconds timeout)>
        send;
    // The content of a file, or of standard input for "-"; invalid_request if
    // it cannot be read or is longer than the given bytes.
    std::function<absl::StatusOr<std::string>(const std::string& path,
                                              std::size_t max_bytes)>
        read_file;
    // The value of an environment variable, or an empty text.
    std::function<std::string(const std::string& name)> variable;
    // Cryptographically secure; for keys and idempotency keys.
    base::random_source random;
    // Results.
    std::ostream* out = nullptr;
    // Errors and notes.
    std::ostream* err = nullptr;
};

} // namespace coltsfootrack::cli

#endif
