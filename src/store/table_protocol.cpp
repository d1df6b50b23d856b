// Builds requests to the platform and parses its answers.

#include "table_protocol.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/http/json_response.hpp>

#include <algorithm>
#include <fmt/core.h>

namespace coltsfootrack::store
{
namespace
{

using nlohmann::json;

http::request post(std::string path, const json& body)
{
    http::request message;
    message.method = "POST";
    message.path = std::move(path);
    message.headers.add("Content-Type", "application/json");
    message.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return message;
}

absl::Status malformed(std::string_view what)
{
    return base::make_error(base::error_kind::peer_protocol,
                            fmt::format("the platform's answer: {}", what));
}

// The body of a complete answer with status 200.
absl::StatusOr<json> body_of(const http::client_result& result)
{
    if (!result.ok())
    {
        return base::make_error(base::error_kind::store_unavailable,
                                std::string(result.status.message()));
    }
    if (result.answer.status != 200)
    {
        return base::make_error(
            base::error_kind::store_unavailable,
            fmt::format("the platform answered {}", result.answer.status));
    }
    auto body = http::parse_object(result.answer.body);
    if (!body.ok())
    {
        return malformed(std::string(body.status().message()));
    }
    return body;
}

bool has_version(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned();
}

commit_answer committed_answer(const json& body)
{
    commit_answer answer;
    if (body.value("committed", json()) == true &&
        has_version(body, "sequence") && body["sequence"] > 0)
    {
        answer.result = commit_answer::result::committed;
        answer.sequence = body["sequence"].get<version>();
    }
    return answer;
}

commit_answer conflict_answer(const json& body)
{
    commit_answer answer;
    const json failed = body.value("failed", json());
    if (body.value("committed", json()) == false && failed.is_array() &&
        std::all_of(failed.begin(), failed.end(),
                    [](const json& key) { return key.is_string(); }))
    {
        answer.result = commit_answer::result::conflict;
        answer.failed_keys = failed.get<std::vector<std::string>>();
    }
    return answer;
}

} // namespace

http::request commit_request(const mutation& content)
{
    json conditions = json::array();
    for (const condition& each : content.conditions)
    {
        conditions.push_back({{"key", each.key}, {"version", each.version}});
    }
    json writes = json::array();
    for (const write& each : content.writes)
    {
        writes.push_back({{"key", each.key}, {"value", each.value}});
    }
    return post("/v1/table/commit", {{"conditions", std::move(conditions)},
                                     {"writes", std::move(writes)}});
}

http::request read_request(const std::vector<std::string>& keys,
                           const std::vector<std::string>& prefixes)
{
    return post("/v1/table/read", {{"keys", keys}, {"prefixes", prefixes}});
}

http::request vm_list_request(const std::string& known_etag)
{
    http::request message;
    message.path = "/v1/vms";
    if (!known_etag.empty())
    {
        message.headers.add("If-None-Match", known_etag);
    }
    return message;
}

commit_answer commit_answer_of(const http::client_result& result)
{
    commit_answer answer;
    if (!result.request_sent)
    {
        answer.result = commit_answer::result::not_sent;
        return answer;
    }
    if (!result.ok())
    {
        return answer;
    }
    const int status = result.answer.status;
    if (status == 400 || status == 413)
    {
        answer.result = commit_answer::result::refused;
        return answer;
    }
    const auto body = http::parse_object(result.answer.body);
    if (!body.ok())
    {
        return answer;
    }
    return status == 200   ? committed_answer(*body)
           : status == 409 ? conflict_answer(*body)
                           : answer;
}

absl::StatusOr<read_result> read_answer_of(const http::client_result& result,
                                           base::time_point sent_at)
{
    auto body = body_of(result);
    if (!body.ok())
    {
        return body.status();
    }
    if (!has_version(*body, "sequence") || !body->contains("rows") ||
        !(*body)["rows"].is_array())
    {
        return malformed("no sequence or rows");
    }
    read_result read;
    read.sequence = (*body)["sequence"].get<version>();
    read.sent_at = sent_at;
    for (json& each : (*body)["rows"])
    {
        if (!each.is_object() || !each.contains("key") ||
            !each["key"].is_string() || !has_version(each, "version") ||
            !each.contains("value"))
        {
            return malformed("malformed row");
        }
        row parsed;
        parsed.key = each["key"].get<std::string>();
        parsed.version = each["version"].get<version>();
        parsed.value = std::move(each["value"]);
        if (parsed.version == 0 || parsed.version > read.sequence)
        {
            return malformed("impossible version");
        }
        read.rows.push_back(std::move(parsed));
    }
    const auto by_key = [](const row& a, const row& b)
    {
        return a.key < b.key;
    };
    std::sort(read.rows.begin(), read.rows.end(), by_key);
    if (std::adjacent_find(read.rows.begin(), read.rows.end(),
                           [](const row& a, const row& b)
                           { return a.key == b.key; }) != read.rows.end())
    {
        return malformed("repeated row");
    }
    return read;
}

absl::StatusOr<vm_list> vm_list_answer_of(const http::client_result& result,
                                          base::time_point sent_at)
{
    const auto body = body_of(result);
    if (!body.ok())
    {
        return body.status();
    }
    return parse_vm_list(*body, sent_at);
}

} // namespace coltsfootrack::store
