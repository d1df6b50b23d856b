// Parsing, serialization and hashing of tickets.

#include "error_list.hpp"
#include "field_reader.hpp"
#include "json_text.hpp"
#include "object_fields.hpp"
#include "sha256.hpp"

#include <coltsfootrack/config/object_row.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace coltsfootrack::config
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_author_bytes = 100;

bool is_before(const ticket_object& a, const ticket_object& b)
{
    return std::make_pair(kind_name(a), std::string_view(name_of(a))) <
           std::make_pair(kind_name(b), std::string_view(name_of(b)));
}

std::vector<ticket_object> read_objects(field_reader& reader,
                                        error_list& errors)
{
    std::vector<ticket_object> result;
    const json* objects = reader.array("objects", max_ticket_objects);
    if (objects == nullptr)
    {
        return result;
    }
    if (objects->empty())
    {
        reader.add_error("objects", "must hold at least one object");
    }
    std::set<std::string> keys;
    for (std::size_t i = 0; i < objects->size(); ++i)
    {
        const std::string path = fmt::format("objects[{}]", i);
        std::optional<ticket_object> object =
            read_object((*objects)[i], path, errors);
        if (!object)
        {
            continue;
        }
        if (!keys.insert(row_key(kind_name(*object), name_of(*object))).second)
        {
            errors.add(path + ".name",
                       fmt::format("the {} \"{}\" occurs twice",
                                   kind_name(*object), name_of(*object)));
            continue;
        }
        result.push_back(std::move(*object));
    }
    std::sort(result.begin(), result.end(), is_before);
    return result;
}

} // namespace

absl::StatusOr<ticket> parse_ticket(std::string_view text)
{
    error_list errors;
    const std::optional<json> value =
        parse_json(text, max_ticket_bytes, errors);
    if (!value)
    {
        return errors.to_status(base::error_kind::invalid_ticket);
    }
    ticket result;
    field_reader reader(*value, "", errors);
    result.number = static_cast<std::uint64_t>(reader.integer(
        "number", 1, static_cast<std::int64_t>(max_ticket_number)));
    result.author = reader.text("author", max_author_bytes);
    result.objects = read_objects(reader, errors);
    reader.report_unknown_fields();
    if (!errors.empty())
    {
        return errors.to_status(base::error_kind::invalid_ticket);
    }
    return result;
}

std::string canonical_json(const ticket& value)
{
    std::vector<ticket_object> sorted = value.objects;
    std::sort(sorted.begin(), sorted.end(), is_before);
    json objects = json::array();
    for (const ticket_object& each : sorted)
    {
        objects.push_back(write_object(each));
    }
    const json result = {{"number", value.number},
                         {"author", value.author},
                         {"objects", std::move(objects)}};
    return result.dump();
}

std::string content_hash(const ticket& value)
{
    return sha256_hex(canonical_json(value));
}

std::string canonical_json(const ticket_object& object)
{
    return write_object(object).dump();
}

absl::StatusOr<ticket_object> parse_object(std::string_view text)
{
    error_list errors;
    const std::optional<json> value =
        parse_json(text, max_ticket_bytes, errors);
    if (value)
    {
        const std::optional<ticket_object> object =
            read_object(*value, "", errors);
        if (object)
        {
            return *object;
        }
    }
    return errors.to_status(base::error_kind::invalid_ticket);
}

} // namespace coltsfootrack::config
