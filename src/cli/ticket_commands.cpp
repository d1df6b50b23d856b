// The commands ticket check, apply and show.

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

absl::StatusOr<config::ticket> read_ticket(const options& opts,
                                           const environment& env)
{
    const absl::StatusOr<std::string> text =
        env.read_file(opts.words[0], config::max_ticket_bytes);
    if (!text.ok())
    {
        return text.status();
    }
    return config::parse_ticket(*text);
}

http::request post(std::string path, const config::ticket& value)
{
    http::request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.add("Content-Type", "application/json");
    request.body = config::canonical_json(value);
    return request;
}

nlohmann::json summary_of(const config::ticket& value)
{
    return {{"number", value.number},
            {"author", value.author},
            {"objects", value.objects.size()},
            {"content_hash", config::content_hash(value)}};
}

absl::Status check(const options& opts, const environment& env)
{
    const absl::StatusOr<config::ticket> value = read_ticket(opts, env);
    if (!value.ok())
    {
        return value.status();
    }
    nlohmann::json result = summary_of(*value);
    // Without a daemon only the form is checked, and not the ticket against
    // the configuration in force.
    result["checked"] = "form";
    if (!opts.servers.empty())
    {
        const absl::StatusOr<nlohmann::json> answer =
            call_daemon(opts, env, post("/v1/tickets/check", *value),
                        idempotency::idempotent);
        if (!answer.ok())
        {
            return answer.status();
        }
        result["checked"] = "form and configuration in force";
        result["answer"] = *answer;
    }
    print_result(opts, env, result);
    return absl::OkStatus();
}

absl::Status apply(const options& opts, const environment& env)
{
    const absl::StatusOr<config::ticket> value = read_ticket(opts, env);
    if (!value.ok())
    {
        return value.status();
    }
    // Idempotent: the same number with the same content succeeds again.
    const absl::StatusOr<nlohmann::json> answer = call_daemon(
        opts, env, post("/v1/tickets", *value), idempotency::idempotent);
    if (!answer.ok())
    {
        return answer.status();
    }
    nlohmann::json result = summary_of(*value);
    result["answer"] = *answer;
    print_result(opts, env, result);
    return absl::OkStatus();
}

absl::Status show(const options& opts, const environment& env)
{
    const std::string& text = opts.words[0];
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() ||
        number == 0 || number > config::max_ticket_number)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the ticket number must be a positive number");
    }
    http::request request;
    request.path = fmt::format("/v1/tickets/{}", number);
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(opts, env, request, idempotency::idempotent);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(opts, env, *answer);
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
