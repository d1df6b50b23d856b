// Converts idempotency rows to and from JSON.

#include <coltsfootrack/routing/idempotency_row.hpp>

#include <coltsfootrack/base/error_kind.hpp>

#include <absl/strings/escaping.h>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootrack::routing
{
namespace
{

using nlohmann::json;

constexpr std::array<std::pair<idempotency_status, std::string_view>, 4>
    status_names = {{{idempotency_status::claimed, "claimed"},
                     {idempotency_status::done, "done"},
                     {idempotency_status::released, "released"},
                     {idempotency_status::unknown, "unknown"}}};

// Reads typed fields and records whether any is missing or of the wrong type.
class field_reader
{
public:
    explicit field_reader(const json& object)
        : object_(object)
    {
    }

    std::string text(const char* name)
    {
        const auto found = object_.find(name);
        if (found == object_.end() || !found->is_string())
        {
            valid_ = false;
            return {};
        }
        return found->get<std::string>();
    }

    std::uint64_t number(const char* name, std::uint64_t max)
    {
        const auto found = object_.find(name);
        if (found == object_.end() || !found->is_number_unsigned() ||
            found->get<std::uint64_t>() > max)
        {
            valid_ = false;
            return 0;
        }
        return found->get<std::uint64_t>();
    }

    bool flag(const char* name)
    {
        const auto found = object_.find(name);
        if (found == object_.end() || !found->is_boolean())
        {
            valid_ = false;
            return false;
        }
        return found->get<bool>();
    }

    idempotency_status status(const char* name)
    {
        const std::string value = text(name);
        for (const auto& [status, status_name] : status_names)
        {
            if (value == status_name)
            {
                return status;
            }
        }
        valid_ = false;
        return idempotency_status::unknown;
    }

    std::string base64(const char* name)
    {
        std::string bytes;
        valid_ = absl::Base64Unescape(text(name), &bytes) && valid_;
        return bytes;
    }

    bool valid() const
    {
        return valid_;
    }

private:
    const json& object_;
    bool valid_ = true;
};

} // namespace

std::string to_json(const idempotency_row& row)
{
    json object;
    for (const auto& [status, name] : status_names)
    {
        if (status == row.status)
        {
            object["state"] = name;
        }
    }
    object["token"] = row.token;
    object["daemon"] = row.daemon.text();
    object["incarnation"] = row.incarnation;
    object["content"] = row.content;
    object["expires"] = row.expires.count();
    if (row.status == idempotency_status::done)
    {
        object["http_status"] = row.http_status;
        object["content_type"] = absl::Base64Escape(row.content_type);
        object["body"] = absl::Base64Escape(row.body);
        object["body_omitted"] = row.body_omitted;
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<idempotency_row> idempotency_row_from_json(std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    const auto invalid =
        base::make_error(base::error_kind::internal, "invalid idempotency row");
    if (!object.is_object())
    {
        return invalid;
    }
    field_reader fields(object);
    idempotency_row row;
    row.status = fields.status("state");
    row.token = fields.text("token");
    row.daemon = base::daemon_id(fields.text("daemon"));
    row.incarnation =
        fields.number("incarnation", std::numeric_limits<std::uint64_t>::max());
    row.content = fields.text("content");
    row.expires = std::chrono::seconds(static_cast<std::int64_t>(
        fields.number("expires", std::numeric_limits<std::int64_t>::max())));
    if (row.status == idempotency_status::done)
    {
        row.http_status = static_cast<std::uint32_t>(fields.number(
            "http_status", std::numeric_limits<std::uint32_t>::max()));
        row.content_type = fields.base64("content_type");
        row.body = fields.base64("body");
        row.body_omitted = fields.flag("body_omitted");
    }
    if (!fields.valid() || row.body.size() > max_recorded_body)
    {
        return invalid;
    }
    return row;
}

} // namespace coltsfootrack::routing
