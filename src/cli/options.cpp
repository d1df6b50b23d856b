// Parsing of the command line with getopt_long.

#include "options.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/address.hpp>

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <getopt.h>

namespace coltsfootrack::cli
{
namespace
{

// One option; its argument is empty if it takes none.
struct option_spec
{
    const char* name;
    std::string_view argument;
    std::string_view help;
};

constexpr std::array<option_spec, 10> option_specs = {{
    {"server", "ADDRESS:PORT",
     "a daemon; repeat it to give others to try when one cannot serve"},
    {"timeout", "SECONDS", "the wait for one daemon, 1 to 600 (default 10)"},
    {"json", "", "print one line of JSON for scripts"},
    {"key-file", "FILE",
     "read the team's key from a file (default: COLTSFOOTRACK_KEY)"},
    {"team", "TEAM", "the team that owns the key"},
    {"id", "ID", "the id of the new key"},
    {"tasks", "COUNT", "the number of tasks, if not that of the workload"},
    {"idempotency-key", "KEY",
     "repeat a submission under this key (default: a new one)"},
    {"help", "", "print help"},
    {"version", "", "print the version"},
}};

constexpr std::uint32_t max_tasks = 10'000;
constexpr std::uint32_t max_timeout_seconds = 600;

absl::Status invalid_option(std::string_view detail)
{
    return base::make_error(base::error_kind::invalid_request, detail);
}

bool parse_number(std::string_view text, std::uint32_t highest,
                  std::uint32_t& value)
{
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() &&
           value >= 1 && value <= highest;
}

absl::Status set_option(std::string_view name, const std::string& value,
                        options& result)
{
    result.option_names.emplace_back(name);
    if (name == "json" || name == "help" || name == "version")
    {
        result.json = result.json || name == "json";
        result.help = result.help || name == "help";
        result.version = result.version || name == "version";
        return absl::OkStatus();
    }
    if (name == "server")
    {
        if (!config::parse_address(value).ok())
        {
            return invalid_option("--server must be an IP number and a port");
        }
        result.servers.push_back(value);
        return absl::OkStatus();
    }
    if (name == "timeout")
    {
        std::uint32_t seconds = 0;
        if (!parse_number(value, max_timeout_seconds, seconds))
        {
            return invalid_option("--timeout must be 1 to 600 seconds");
        }
        result.timeout = std::chrono::seconds(seconds);
        return absl::OkStatus();
    }
    if (name == "tasks")
    {
        return parse_number(value, max_tasks, result.tasks)
                   ? absl::OkStatus()
                   : invalid_option("--tasks must be 1 to 10000");
    }
    std::string& target = name == "key-file" ? result.key_file
                          : name == "team"   ? result.team
                          : name == "id"     ? result.id
                                             : result.idempotency_key;
    if (value.empty())
    {
        return invalid_option(fmt::format("--{} must not be empty", name));
    }
    target = value;
    return absl::OkStatus();
}

std::vector<option> long_options()
{
    std::vector<option> result;
    result.reserve(option_specs.size() + 1);
    for (const option_spec& spec : option_specs)
    {
        result.push_back(
            {spec.name, spec.argument.empty() ? no_argument : required_argument,
             nullptr, 0});
    }
    result.push_back({nullptr, 0, nullptr, 0});
    return result;
}

} // namespace

absl::StatusOr<options> parse_options(const std::vector<std::string>& arguments)
{
    std::vector<std::string> copies = {"coltsfootrack"};
    copies.insert(copies.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(copies.size() + 1);
    for (std::string& each : copies)
    {
        pointers.push_back(each.data());
    }
    pointers.push_back(nullptr);

    const std::vector<option> table = long_options();
    options result;
    opterr = 0;
    // Zero makes GNU getopt_long reinitialize for the new arguments.
    optind = 0;
    int index = 0;
    int found = 0;
    const int count = static_cast<int>(copies.size());
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    while ((found = getopt_long(count, pointers.data(), ":h", table.data(),
                                &index)) != -1)
    {
        if (found == 'h')
        {
            result.help = true;
            continue;
        }
        if (found != 0)
        {
            const std::string word = optind >= 1 && optind <= count
                                         ? pointers[optind - 1]
                                         : std::string();
            const std::string name = word.substr(0, word.find('='));
            return invalid_option(found == ':'
                                      ? fmt::format("{} needs a value", name)
                                      : fmt::format("unknown option {}", name));
        }
        const absl::Status status = set_option(
            table[index].name, optarg == nullptr ? "" : optarg, result);
        if (!status.ok())
        {
            return status;
        }
    }
    for (int i = optind; i < count; ++i)
    {
        result.words.emplace_back(pointers[i]);
    }
    return result;
}

std::string option_help(std::string_view name)
{
    for (const option_spec& spec : option_specs)
    {
        if (spec.name == name)
        {
            return fmt::format(
                "  {:<26} {}",
                spec.argument.empty()
                    ? fmt::format("--{}", spec.name)
                    : fmt::format("--{} {}", spec.name, spec.argument),
                spec.help);
        }
    }
    return {};
}

} // namespace coltsfootrack::cli
