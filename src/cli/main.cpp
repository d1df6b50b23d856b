// The program coltsfootrack: the real environment of the commands.

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
    cli::environment outside;
    outside.send = [&client](const std::string& address,
                             const http::request& message,
                             std::chrono::milliseconds timeout)
    {
        return client.send(address, message, timeout);
    };
    outside.read_file = cli::read_file;
    outside.variable = cli::variable;
    outside.random = cli::secure_random;
    outside.out = &std::cout;
    outside.err = &std::cerr;
    return cli::run({argv + 1, argv + argc}, outside);
}
