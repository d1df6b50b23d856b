// JSON bodies, and the format of error answers.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <fmt/core.h>

namespace coltsfootrack::http
{
namespace
{

constexpr int max_depth = 64;

const char* text_of(base::execution ran)
{
    switch (ran)
    {
    case base::execution::did_not_run:
        return "did_not_run";
    case base::execution::ran:
        return "ran";
    case base::execution::unknown:
        break;
    }
    return "unknown";
}

} // namespace

response json_response(int status, const nlohmann::json& body)
{
    response answer;
    answer.status = status;
    answer.headers.add("Content-Type", "application/json");
    answer.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

response error_response(const absl::Status& error)
{
    const base::error_answer& row = base::answer_of(base::kind_of(error));
    return json_response(row.http_status,
                         {{"error", row.name},
                          {"detail", std::string(error.message())},
                          {"execution", text_of(row.ran)},
                          {"retryable", row.retryable},
                          {"advice", row.advice}});
}

absl::Status error_of(const response& answer)
{
    const auto body = parse_object(answer.body);
    if (!body.ok() || !body->contains("error") || !(*body)["error"].is_string())
    {
        return base::make_error(
            base::error_kind::internal,
            fmt::format("answer with status {} has no error body",
                        answer.status));
    }
    const auto detail = body->find("detail");
    return base::make_error(
        base::kind_named((*body)["error"].get_ref<const std::string&>()),
        detail != body->end() && detail->is_string()
            ? detail->get<std::string>()
            : std::string());
}

absl::StatusOr<nlohmann::json> parse_object(const std::string& body)
{
    bool too_deep = false;
    const auto limit_depth =
        [&too_deep](int depth, nlohmann::json::parse_event_t /*event*/,
                    nlohmann::json& /*parsed*/)
    {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    nlohmann::json parsed = nlohmann::json::parse(body, limit_depth, false);
    if (too_deep)
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the body is nested too deeply");
    }
    if (parsed.is_discarded() || !parsed.is_object())
    {
        return base::make_error(base::error_kind::invalid_request,
                                "the body is not a JSON object");
    }
    return parsed;
}

} // namespace coltsfootrack::http
