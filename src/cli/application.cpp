// Dispatch to commands, help and version.

#include "application.hpp"

#include "command.hpp"
#include "output.hpp"

#include <coltsfootrack/base/error_kind.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <ostream>

namespace coltsfootrack::cli
{
namespace
{

constexpr std::string_view version_text = "0.1.0";

absl::Status print_version(const options& opts, const environment& env)
{
    print_result(opts, env, {{"version", version_text}});
    return absl::OkStatus();
}

std::vector<command> all_commands()
{
    std::vector<command> result;
    for (const auto& group :
         {ticket_commands(), key_commands(), job_commands(), daemon_commands()})
    {
        result.insert(result.end(), group.begin(), group.end());
    }
    result.push_back({"version", {}, "Print the version.", {}, print_version});
    return result;
}

std::string first_words(const std::vector<std::string>& words,
                        std::size_t count)
{
    return fmt::format(
        "{}", fmt::join(words.begin(),
                        words.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(count, words.size())),
                        " "));
}

std::size_t word_count(const std::string& name)
{
    return static_cast<std::size_t>(std::count(name.begin(), name.end(), ' ')) +
           1;
}

std::string usage_of(const command& chosen)
{
    std::string result = "coltsfootrack " + chosen.name;
    for (const std::string& argument : chosen.arguments)
    {
        result += " " + argument;
    }
    return result;
}

void print_command_help(const command& chosen, std::ostream& out)
{
    out << "Usage: " << usage_of(chosen) << " [OPTION...]\n"
        << chosen.summary << "\n\nOptions:\n";
    for (const std::string& name : chosen.options)
    {
        out << option_help(name) << '\n';
    }
    out << option_help("json") << '\n' << option_help("help") << '\n';
    out << "\nExit status: 0 success, 2 bad input, 3 not permitted, 4 "
           "conflict,\n5 refused for now, 6 outcome unknown, 7 failed.\n";
}

// Lists the commands of a group, or all commands if the group is empty.
void print_command_list(const std::vector<command>& commands,
                        const std::string& group, std::ostream& out)
{
    out << "Usage: coltsfootrack COMMAND [ARGUMENT...] [OPTION...]\n\n"
           "Commands:\n";
    for (const command& each : commands)
    {
        if (group.empty() || each.name.rfind(group + " ", 0) == 0)
        {
            const std::string usage = usage_of(each).substr(14);
            out << fmt::format("  {:<20} {}\n", usage, each.summary);
        }
    }
    out << "\n'coltsfootrack COMMAND --help' lists the options of a command.\n";
}

absl::Status check_usage(const command& chosen, const options& opts)
{
    for (const std::string& name : opts.option_names)
    {
        const bool known =
            name == "json" || name == "help" || name == "version" ||
            std::find(chosen.options.begin(), chosen.options.end(), name) !=
                chosen.options.end();
        if (!known)
        {
            return base::make_error(
                base::error_kind::invalid_request,
                fmt::format("'{}' takes no --{}", chosen.name, name));
        }
    }
    if (opts.words.size() != chosen.arguments.size())
    {
        return base::make_error(base::error_kind::invalid_request,
                                "usage: " + usage_of(chosen));
    }
    return absl::OkStatus();
}

const command* find_command(const std::vector<command>& commands,
                            const std::vector<std::string>& words)
{
    for (const command& each : commands)
    {
        const std::size_t count = word_count(each.name);
        if (words.size() >= count && first_words(words, count) == each.name)
        {
            return &each;
        }
    }
    return nullptr;
}

bool is_group(const std::vector<command>& commands, const std::string& word)
{
    return std::any_of(commands.begin(), commands.end(),
                       [&word](const command& each)
                       { return each.name.rfind(word + " ", 0) == 0; });
}

} // namespace

int run(const std::vector<std::string>& arguments, const environment& env)
{
    absl::StatusOr<options> parsed = parse_options(arguments);
    if (!parsed.ok())
    {
        const bool json = std::find(arguments.begin(), arguments.end(),
                                    "--json") != arguments.end();
        return print_error(json, env, parsed.status());
    }
    options& opts = *parsed;
    const std::vector<command> commands = all_commands();
    const command* chosen = find_command(commands, opts.words);
    if (chosen == nullptr)
    {
        const std::string group = first_words(opts.words, 1);
        if (opts.words.empty() && opts.version)
        {
            print_version(opts, env).IgnoreError();
            return 0;
        }
        if (opts.help && (opts.words.empty() || (opts.words.size() == 1 &&
                                                 is_group(commands, group))))
        {
            print_command_list(commands, group, *env.out);
            return 0;
        }
        return print_error(
            opts.json, env,
            base::make_error(base::error_kind::invalid_request,
                             opts.words.empty()
                                 ? "no command; see 'coltsfootrack --help'"
                                 : fmt::format("unknown command '{}'; see "
                                               "'coltsfootrack --help'",
                                               first_words(opts.words, 2))));
    }
    if (opts.help)
    {
        print_command_help(*chosen, *env.out);
        return 0;
    }
    opts.words.erase(opts.words.begin(),
                     opts.words.begin() +
                         static_cast<std::ptrdiff_t>(word_count(chosen->name)));
    absl::Status status = check_usage(*chosen, opts);
    if (status.ok())
    {
        status = chosen->run(opts, env);
    }
    env.out->flush();
    return status.ok() ? 0 : print_error(opts.json, env, status);
}

} // namespace coltsfootrack::cli
