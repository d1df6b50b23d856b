// The commands status and drain.

#include "command.hpp"
#include "daemon_call.hpp"
#include "output.hpp"

#include <coltsfootrack/base/error_kind.hpp>

namespace coltsfootrack::cli
{
namespace
{

absl::Status call_and_print(const options& opts, const environment& env,
                            const http::request& request)
{
    const absl::StatusOr<nlohmann::json> answer =
        call_daemon(opts, env, request, idempotency::idempotent);
    if (!answer.ok())
    {
        return answer.status();
    }
    print_result(opts, env, *answer);
    return absl::OkStatus();
}

absl::Status status(const options& opts, const environment& env)
{
    http::request request;
    request.path = "/v1/status";
    return call_and_print(opts, env, request);
}

absl::Status drain(const options& opts, const environment& env)
{
    // With failover, an unreachable daemon would cause another one to drain.
    if (opts.servers.size() > 1)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "drain takes exactly one --server");
    }
    http::request request;
    request.method = "POST";
    request.path = "/v1/drain";
    return call_and_print(opts, env, request);
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
