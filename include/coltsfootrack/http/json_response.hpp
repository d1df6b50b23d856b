#ifndef COLTSFOOTRACK_HTTP_JSON_RESPONSE_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_JSON_RESPONSE_HPP_INCLUDED

#include <coltsfootrack/http/response.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::http
{

// An answer with a JSON body. Invalid UTF-8 is replaced.
response json_response(int status, const nlohmann::json& body);

// The answer that reports an error: the HTTP status of its kind and the body
// {"error", "detail", "execution", "retryable", "advice"}.
response error_response(const absl::Status& error);

// Parses the body that error_response makes; internal if the body does not have
// this form. Only for answers with a status of 400 or more.
absl::Status error_of(const response& answer);

// Parses a body; invalid_request if it is not a JSON object or is nested deeper
// than 64 levels.
absl::StatusOr<nlohmann::json> parse_object(const std::string& body);

} // namespace coltsfootrack::http

#endif
