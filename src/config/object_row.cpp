// Conversion of objects from and to table rows.

#include "field_reader.hpp"
#include "json_text.hpp"
#include "object_fields.hpp"
#include "stored_object.hpp"

#include <coltsfootrack/config/object_row.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <fmt/format.h>

namespace coltsfootrack::config
{
namespace
{

std::optional<stored_object> read_row_json(const object_row& row,
                                           const std::string& path,
                                           error_list& errors)
{
    const std::optional<nlohmann::json> value =
        parse_json(row.json, max_ticket_bytes, errors);
    if (!value)
    {
        return std::nullopt;
    }
    field_reader reader(*value, path, errors);
    const std::int64_t number = reader.integer(
        "ticket", 1, static_cast<std::int64_t>(max_ticket_number));
    const nlohmann::json* content = reader.required_object("object");
    reader.report_unknown_fields();
    if (content == nullptr)
    {
        return std::nullopt;
    }
    std::optional<ticket_object> object =
        read_object(*content, path + ".object", errors);
    if (!object || !errors.empty())
    {
        return std::nullopt;
    }
    return stored_object{static_cast<std::uint64_t>(number),
                         std::move(*object)};
}

} // namespace

object_row make_row(std::uint64_t ticket_number, const ticket_object& object)
{
    const nlohmann::json value = {{"object", write_object(object)},
                                  {"ticket", ticket_number}};
    return {std::string(kind_name(object)), name_of(object), value.dump()};
}

std::string row_key(std::string_view kind, std::string_view name)
{
    return fmt::format("config/object/{}/{}", kind, name);
}

std::optional<stored_object> read_row(const object_row& row, error_list& errors)
{
    const std::string path = row_key(row.kind, row.name);
    error_list row_errors;
    std::optional<stored_object> result = read_row_json(row, path, row_errors);
    if (result && (kind_name(result->object) != row.kind ||
                   name_of(result->object) != row.name))
    {
        row_errors.add(path, "the row holds another object");
    }
    if (row_errors.empty())
    {
        return result;
    }
    errors.add(path, "the row cannot be read");
    errors.append(row_errors);
    return std::nullopt;
}

} // namespace coltsfootrack::config
