// The commands job submit, status, cancel and explain.

#include "command.hpp"
#include "daemon_call.hpp"
#include "output.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/base/hex_token.hpp>

#include <fmt/format.h>
#include <string_view>

namespace coltsfootrack::cli
{
namespace
{

constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_idempotency_bytes = 128;

// Letters, digits, '-', '_' and '.': safe in a path and in a header.
bool is_safe_token(const std::string& text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes && text != "." &&
           text != ".." &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
               std::string::npos;
}

absl::Status send(const options& opts, const environment& env,
                  http::request request, idempotency kind)
{
    // Work for an open queue needs no key, so the daemon decides whether a
    // missing one is an error.
    const absl::StatusOr<std::string> key = team_key(opts, env);
    if (key.ok())
    {
        request.headers.add("X-Team-Key", *key);
    }
    else if (base::kind_of(key.status()) != base::error_kind::key_missing)
    {
        return key.status();
    }
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(opts, env, request, kind);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(opts, env, *answer);
    return absl::OkStatus();
}

absl::Status submit(const options& opts, const environment& env)
{
    const std::string& workload = opts.words[0];
    if (!is_safe_token(workload, max_id_bytes))
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the workload is not a valid name");
    }
    std::string idempotency_key = opts.idempotency_key;
    if (idempotency_key.empty())
    {
        idempotency_key = base::hex_token(env.random);
    }
    if (!is_safe_token(idempotency_key, max_idempotency_bytes))
    {
        return base::make_error(
            base::error_kind::invalid_request,
            "--idempotency-key must be letters, digits, '-', '_' and '.'");
    }
    nlohmann::json body = {{"workload", workload}};
    if (opts.tasks > 0)
    {
        body["tasks"] = opts.tasks;
    }
    http::request request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Idempotency-Key", idempotency_key);
    request.body = body.dump();
    absl::Status status =
        send(opts, env, std::move(request), idempotency::not_idempotent);
    if (status.ok() ||
        base::answer_of(base::kind_of(status)).ran != base::execution::unknown)
    {
        return status;
    }
    // The caller can learn the outcome only by a retry under the same key.
    return base::make_error(
        base::kind_of(status),
        fmt::format(
            "{}\nThe submission had --idempotency-key {}.",
            std::string_view(status.message().data(), status.message().size()),
            idempotency_key));
}

// A command on one job: its HTTP method, and the path after the job's id.
std::function<absl::Status(const options&, const environment&)>
job_command(std::string method, std::string suffix)
{
    return [method = std::move(method), suffix = std::move(suffix)](
               const options& opts, const environment& env)
    {
        if (!is_safe_token(opts.words[0], max_id_bytes))
        {
            return base::make_error(base::error_kind::invalid_request,
                                    "the job is not a valid id");
        }
        http::request request;
        request.method = method;
        request.path = fmt::format("/v1/jobs/{}{}", opts.words[0], suffix);
        // Idempotent: a second cancellation has no further effect.
        return send(opts, env, std::move(request), idempotency::idempotent);
    };
}

} // namespace

std::vector<command> job_commands()
{
    const std::vector<std::string> common = {"server", "timeout", "key-file"};
    std::vector<std::string> submission = common;
    submission.insert(submission.end(), {"tasks", "idempotency-key"});
    return {
        {"job submit",
         {"WORKLOAD"},
         "Submit a job of a workload.",
         submission,
         submit},
        {"job status",
         {"JOB"},
         "Print the state of a job.",
         common,
         job_command("GET", "")},
        {"job cancel",
         {"JOB"},
         "Cancel a job; repeating it is safe.",
         common,
         job_command("DELETE", "")},
        {"job explain",
         {"JOB"},
         "Explain why a job waits or where it runs.",
         common,
         job_command("GET", "/explain")},
    };
}

} // namespace coltsfootrack::cli
