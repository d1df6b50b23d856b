// status and drain.

#include "command.hpp"
#include "daemon_call.hpp"
#include "output.hpp"

#include <coltsfootrack/base/error_kind.hpp>

namespace coltsfootrack::cli
{
namespace
{

absl::Status print_answer(const options& given, const environment& outside,
                          const http::request& message)
{
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(given, outside, message, repetition::safe);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(given, outside, *answer);
    return absl::OkStatus();
}

absl::Status status(const options& given, const environment& outside)
{
    http::request message;
    message.path = "/v1/status";
    return print_answer(given, outside, message);
}

absl::Status drain(const options& given, const environment& outside)
{
    // With fail-over, an unreachable daemon would drain another one.
    if (given.servers.size() > 1)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "drain takes exactly one --server");
    }
    http::request message;
    message.method = "POST";
    message.path = "/v1/drain";
    return print_answer(given, outside, message);
}

} // namespace

std::vector<command> daemon_commands()
{
    return {
        {"status",
         {},
         "Print the state of a daemon.",
         {"server", "timeout"},
         status},
        {"drain",
         {},
         "Shut one daemon down without interrupting requests in flight.",
         {"server", "timeout"},
         drain},
    };
}

} // namespace coltsfootrack::cli
