// Requests to daemons with failover.

#include "daemon_call.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <fmt/format.h>
#include <optional>

namespace coltsfootrack::cli
{
namespace
{

constexpr std::size_t max_key_bytes = 256;
constexpr int first_error_status = 400;

struct attempt
{
    absl::StatusOr<nlohmann::json> answer;
    // Whether it is certain that the request did not run.
    bool did_not_run = false;
};

attempt call_one(const std::string& server, const environment& env,
                 const http::request& request,
                 std::chrono::milliseconds timeout)
{
    const http::client_result result = env.send(server, request, timeout);
    if (!result.ok())
    {
        return {result.status, !result.request_sent};
    }
    if (result.answer.status >= first_error_status)
    {
        const absl::Status error = http::error_of(result.answer);
        const base::error_answer& row = base::answer_of(base::kind_of(error));
        return {error, row.ran == base::execution::did_not_run};
    }
    absl::StatusOr<nlohmann::json> body =
        http::parse_object(result.answer.body);
    if (!body.ok())
    {
        // The request succeeded, but its result cannot be shown.
        return {base::make_error(base::error_kind::peer_protocol,
                                 "the answer is not a JSON object"),
                false};
    }
    return {std::move(body), false};
}

absl::Status with_detail(const absl::Status& error, std::string_view detail)
{
    return base::make_error(base::kind_of(error), detail);
}

std::string trimmed(const std::string& text)
{
    constexpr const char* blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

absl::StatusOr<nlohmann::json> call_daemon(const options& opts,
                                           const environment& env,
                                           const http::request& request,
                                           idempotency kind)
{
    if (opts.servers.empty())
    {
        return base::make_error(base::error_kind::invalid_request,
                                "--server ADDRESS:PORT is missing");
    }
    std::optional<absl::Status> unknown;
    absl::Status last;
    std::string detail;
    for (const std::string& server : opts.servers)
    {
        attempt made = call_one(server, env, request, opts.timeout);
        if (made.answer.ok())
        {
            return std::move(made.answer);
        }
        last = made.answer.status();
        const std::string_view text(last.message().data(),
                                    last.message().size());
        detail += detail.empty() ? "" : "\n";
        detail += opts.servers.size() == 1 && !text.empty()
                      ? std::string(text)
                      : fmt::format("{}: {}", server, text);
        if (!made.did_not_run && !unknown)
        {
            unknown = last;
        }
        const bool retryable = base::answer_of(base::kind_of(last)).retryable;
        if (!retryable ||
            (!made.did_not_run && kind == idempotency::not_idempotent))
        {
            break;
        }
    }
    return with_detail(unknown.value_or(last), detail);
}

absl::StatusOr<std::string> team_key(const options& opts,
                                     const environment& env)
{
    std::string key = env.variable("COLTSFOOTRACK_KEY");
    if (!opts.key_file.empty())
    {
        absl::StatusOr<std::string> content =
            env.read_file(opts.key_file, max_key_bytes);
        if (!content.ok())
        {
            return content.status();
        }
        key = *content;
    }
    key = trimmed(key);
    if (key.empty())
    {
        return base::make_error(
            base::error_kind::key_missing,
            "neither --key-file nor COLTSFOOTRACK_KEY gives a key");
    }
    // A line break in the key would allow header injection.
    if (key.find_first_of("\r\n") != std::string::npos)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "a key is one line");
    }
    return key;
}

} // namespace coltsfootrack::cli
