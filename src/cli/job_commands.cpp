// job submit, status, cancel and explain.

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
bool is_plain(const std::string& text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes && text != "." &&
           text != ".." &&
           text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
               std::string::npos;
}

absl::Status send(const options& given, const environment& outside,
                  http::request message, repetition repeat)
{
    // Work for an open queue needs no key, so a missing one is for the daemon
    // to refuse.
    const absl::StatusOr<std::string> key = team_key(given, outside);
    if (key.ok())
    {
        message.headers.add("X-Team-Key", *key);
    }
    else if (base::kind_of(key.status()) != base::error_kind::key_missing)
    {
        return key.status();
    }
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(given, outside, message, repeat);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(given, outside, *answer);
    return absl::OkStatus();
}

absl::Status submit(const options& given, const environment& outside)
{
    const std::string& workload = given.words[0];
    if (!is_plain(workload, max_id_bytes))
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the workload is not a valid name");
    }
    std::string repeat_key = given.idempotency_key;
    if (repeat_key.empty())
    {
        repeat_key = base::hex_token(outside.random);
    }
    if (!is_plain(repeat_key, max_idempotency_bytes))
    {
        return base::make_error(
            base::error_kind::invalid_request,
            "--idempotency-key must be letters, digits, '-', '_' and '.'");
    }
    nlohmann::json body = {{"workload", workload}};
    if (given.tasks > 0)
    {
        body["tasks"] = given.tasks;
    }
    http::request message;
    message.method = "POST";
    message.path = "/v1/jobs";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Idempotency-Key", repeat_key);
    message.body = body.dump();
    absl::Status status =
        send(given, outside, std::move(message), repetition::unsafe);
    if (status.ok() ||
        base::answer_of(base::kind_of(status)).ran != base::execution::unknown)
    {
        return status;
    }
    // Only under the same key can the caller learn what became of it.
    return base::make_error(
        base::kind_of(status),
        fmt::format(
            "{}\nThe submission had --idempotency-key {}.",
            std::string_view(status.message().data(), status.message().size()),
            repeat_key));
}

// A command about one job: method, and what follows the id in the path.
std::function<absl::Status(const options&, const environment&)>
about_job(std::string method, std::string suffix)
{
    return [method = std::move(method), suffix = std::move(suffix)](
               const options& given, const environment& outside)
    {
        if (!is_plain(given.words[0], max_id_bytes))
        {
            return base::make_error(base::error_kind::invalid_request,
                                    "the job is not a valid id");
        }
        http::request message;
        message.method = method;
        message.path = fmt::format("/v1/jobs/{}{}", given.words[0], suffix);
        // To cancel twice has the same effect as to cancel once.
        return send(given, outside, std::move(message), repetition::safe);
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
         about_job("GET", "")},
        {"job cancel",
         {"JOB"},
         "Cancel a job; repeating it is safe.",
         common,
         about_job("DELETE", "")},
        {"job explain",
         {"JOB"},
         "Explain why a job waits or where it runs.",
         common,
         about_job("GET", "/explain")},
    };
}

} // namespace coltsfootrack::cli
