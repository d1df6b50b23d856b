// The program coltsfootrack: runs a command in the process's environment.

#include "application.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/client.hpp>

#include <array>
#include <cstdlib>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <openssl/rand.h>

namespace coltsfootrack::cli
{
namespace
{

absl::StatusOr<std::string> read_stream(std::istream& stream,
                                        const std::string& path,
                                        std::size_t max_bytes)
{
    std::string result(max_bytes + 1, '\0');
    stream.read(result.data(), static_cast<std::streamsize>(result.size()));
    if (stream.bad() || (stream.fail() && !stream.eof()))
    {
        return base::make_error(base::error_kind::invalid_request,
                                fmt::format("cannot read {}", path));
    }
    result.resize(static_cast<std::size_t>(stream.gcount()));
    if (result.size() > max_bytes)
    {
        return base::make_error(
            base::error_kind::invalid_request,
            fmt::format("{} is longer than {} bytes", path, max_bytes));
    }
    return result;
}

absl::StatusOr<std::string> read_file(const std::string& path,
                                      std::size_t max_bytes)
{
    if (path == "-")
    {
        return read_stream(std::cin, "standard input", max_bytes);
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return base::make_error(base::error_kind::invalid_request,
                                fmt::format("cannot open {}", path));
    }
    return read_stream(file, path, max_bytes);
}

std::string variable(const std::string& name)
{
    const char* value = std::getenv(name.c_str()); // NOLINT
    return value == nullptr ? std::string() : std::string(value);
}

std::uint64_t secure_random()
{
    std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    {
        // A guessable key is worse than no key.
        std::cerr << "coltsfootrack: no secure random numbers\n";
        std::abort();
    }
    std::uint64_t result = 0;
    std::memcpy(&result, bytes.data(), bytes.size());
    return result;
}

} // namespace
} // namespace coltsfootrack::cli

int main(int argc, char** argv)
{
    namespace cli = coltsfootrack::cli;
    namespace http = coltsfootrack::http;
    http::client client(http::client_options{});
    cli::environment env;
    env.send = [&client](const std::string& address,
                         const http::request& request,
                         std::chrono::milliseconds timeout)
    {
        return client.send(address, request, timeout);
    };
    env.read_file = cli::read_file;
    env.variable = cli::variable;
    env.random = cli::secure_random;
    env.out = &std::cout;
    env.err = &std::cerr;
    return cli::run({argv + 1, argv + argc}, env);
}
