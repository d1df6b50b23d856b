// ticket check, apply and show.

#include "command.hpp"
#include "daemon_call.hpp"
#include "output.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <charconv>
#include <fmt/format.h>

namespace coltsfootrack::cli
{
namespace
{

absl::StatusOr<config::ticket> read_ticket(const options& given,
                                           const environment& outside)
{
    const absl::StatusOr<std::string> text =
        outside.read_file(given.words[0], config::max_ticket_bytes);
    if (!text.ok())
    {
        return text.status();
    }
    return config::parse_ticket(*text);
}

http::request post(std::string path, const config::ticket& value)
{
    http::request message;
    message.method = "POST";
    message.path = std::move(path);
    message.headers.add("Content-Type", "application/json");
    message.body = config::canonical_json(value);
    return message;
}

nlohmann::json summary_of(const config::ticket& value)
{
    return {{"number", value.number},
            {"author", value.author},
            {"objects", value.objects.size()},
            {"content_hash", config::content_hash(value)}};
}

absl::Status check(const options& given, const environment& outside)
{
    const absl::StatusOr<config::ticket> value = read_ticket(given, outside);
    if (!value.ok())
    {
        return value.status();
    }
    nlohmann::json result = summary_of(*value);
    // Without a daemon only the form is checked, not whether the ticket fits
    // the configuration in force.
    result["checked"] = "form";
    if (!given.servers.empty())
    {
        const absl::StatusOr<nlohmann::json> answer =
            call_daemon(given, outside, post("/v1/tickets/check", *value),
                        repetition::safe);
        if (!answer.ok())
        {
            return answer.status();
        }
        result["checked"] = "form and configuration in force";
        result["answer"] = *answer;
    }
    print_result(given, outside, result);
    return absl::OkStatus();
}

absl::Status apply(const options& given, const environment& outside)
{
    const absl::StatusOr<config::ticket> value = read_ticket(given, outside);
    if (!value.ok())
    {
        return value.status();
    }
    // The same number with the same content succeeds again.
    const absl::StatusOr<nlohmann::json> answer = call_daemon(
        given, outside, post("/v1/tickets", *value), repetition::safe);
    if (!answer.ok())
    {
        return answer.status();
    }
    nlohmann::json result = summary_of(*value);
    result["answer"] = *answer;
    print_result(given, outside, result);
    return absl::OkStatus();
}

absl::Status show(const options& given, const environment& outside)
{
    const std::string& text = given.words[0];
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() ||
        number == 0 || number > config::max_ticket_number)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the ticket number must be a positive number");
    }
    http::request message;
    message.path = fmt::format("/v1/tickets/{}", number);
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(given, outside, message, repetition::safe);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(given, outside, *answer);
    return absl::OkStatus();
}

} // namespace

std::vector<command> ticket_commands()
{
    return {
        {"ticket check",
         {"FILE"},
         "Check a ticket and list all errors; with --server, also against the "
         "configuration in force.",
         {"server", "timeout"},
         check},
        {"ticket apply",
         {"FILE"},
         "Commit a ticket; repeating it is safe.",
         {"server", "timeout"},
         apply},
        {"ticket show",
         {"NUMBER"},
         "Print a committed ticket.",
         {"server", "timeout"},
         show},
    };
}

} // namespace coltsfootrack::cli
