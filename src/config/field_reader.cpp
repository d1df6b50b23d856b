// Validating access to the fields of JSON objects.

#include "field_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace coltsfootrack::config
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 63;
constexpr std::int64_t max_cpu_milli = 1'000'000'000;
constexpr std::int64_t max_memory_mb = 10'000'000'000;
constexpr std::int64_t max_accelerators = 1'000'000;

constexpr std::string_view name_rule =
    "must be 1 to 63 of a-z, 0-9, '-' and '_', beginning with a letter or "
    "digit";

bool is_letter_or_digit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

// The Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
    {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j)
        {
            const std::size_t replaced =
                diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row[b.size()];
}

} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           is_letter_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return is_letter_or_digit(c) || c == '-' || c == '_';
                       });
}

std::string_view closest_match(std::string_view text,
                               const std::vector<std::string_view>& choices)
{
    // No name is longer, and the cost of the distance grows with the length.
    const std::string_view prefix = text.substr(0, max_name_bytes);
    std::string_view best;
    std::size_t best_distance = std::numeric_limits<std::size_t>::max();
    for (const std::string_view choice : choices)
    {
        const std::size_t distance = edit_distance(prefix, choice);
        if (distance < best_distance)
        {
            best = choice;
            best_distance = distance;
        }
    }
    return best;
}

field_reader::field_reader(const json& value, std::string path,
                           error_list& errors)
    : value_(&value)
    , path_(std::move(path))
    , errors_(&errors)
{
    if (!value.is_object())
    {
        errors.add(path_, path_.empty() ? "the text must be a JSON object"
                                        : "must be an object");
        value_ = nullptr;
    }
}

std::string field_reader::path_of(std::string_view field) const
{
    return path_.empty() ? std::string(field)
                         : fmt::format("{}.{}", path_, field);
}

void field_reader::add_error(std::string_view field, std::string_view message)
{
    errors_->add(path_of(field), message);
}

const json* field_reader::find(std::string_view field, bool required)
{
    known_fields_.push_back(field);
    if (value_ == nullptr)
    {
        return nullptr;
    }
    const auto found = value_->find(std::string(field));
    if (found != value_->end())
    {
        return &*found;
    }
    if (required)
    {
        add_error(field, "the field is missing");
    }
    return nullptr;
}

std::string field_reader::name(std::string_view field)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return {};
    }
    if (!value->is_string() || !is_name(value->get_ref<const std::string&>()))
    {
        add_error(field, name_rule);
        return {};
    }
    return value->get<std::string>();
}

std::string field_reader::optional_name(std::string_view field)
{
    if (!has(field))
    {
        known_fields_.push_back(field);
        return {};
    }
    return name(field);
}

std::string field_reader::text(std::string_view field, std::size_t max_bytes)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return {};
    }
    const auto is_control = [](char c)
    {
        return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
    };
    if (value->is_string())
    {
        const auto& read = value->get_ref<const std::string&>();
        if (!read.empty() && read.size() <= max_bytes &&
            std::none_of(read.begin(), read.end(), is_control))
        {
            return read;
        }
    }
    add_error(field, fmt::format("must be a string of 1 to {} bytes without "
                                 "control characters",
                                 max_bytes));
    return {};
}

std::string field_reader::hex(std::string_view field, std::size_t digits)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return {};
    }
    if (value->is_string())
    {
        const auto& read = value->get_ref<const std::string&>();
        if (read.size() == digits &&
            read.find_first_not_of("0123456789abcdef") == std::string::npos)
        {
            return read;
        }
    }
    add_error(field,
              fmt::format("must be {} lower-case hexadecimal digits", digits));
    return {};
}

std::int64_t field_reader::integer(std::string_view field, std::int64_t lowest,
                                   std::int64_t highest,
                                   std::optional<std::int64_t> default_value)
{
    const std::int64_t fallback = default_value.value_or(lowest);
    const json* value = find(field, !default_value.has_value());
    if (value == nullptr)
    {
        return fallback;
    }
    if (value->is_number_integer())
    {
        const bool too_large =
            value->is_number_unsigned() &&
            value->get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
        if (!too_large && value->get<std::int64_t>() >= lowest)
        {
            return value->get<std::int64_t>();
        }
    }
    add_error(field,
              fmt::format("must be an integer from {} to {}", lowest, highest));
    return fallback;
}

bool field_reader::optional_bool(std::string_view field)
{
    return read_bool(field, false);
}

bool field_reader::required_bool(std::string_view field)
{
    return read_bool(field, true);
}

bool field_reader::has(std::string_view field) const
{
    return value_ != nullptr && value_->contains(std::string(field));
}

bool field_reader::is_empty_array(std::string_view field) const
{
    return has(field) && value_->at(std::string(field)).is_array() &&
           value_->at(std::string(field)).empty();
}

bool field_reader::read_bool(std::string_view field, bool required)
{
    const json* value = find(field, required);
    if (value == nullptr)
    {
        return false;
    }
    if (!value->is_boolean())
    {
        add_error(field, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

std::size_t field_reader::choice(std::string_view field,
                                 const std::vector<std::string_view>& choices,
                                 std::optional<std::size_t> default_value)
{
    const std::size_t fallback = default_value.value_or(0);
    const json* value = find(field, !default_value.has_value());
    if (value == nullptr)
    {
        return fallback;
    }
    std::string hint;
    if (value->is_string())
    {
        const auto& read = value->get_ref<const std::string&>();
        const auto found = std::find(choices.begin(), choices.end(), read);
        if (found != choices.end())
        {
            return static_cast<std::size_t>(found - choices.begin());
        }
        hint = fmt::format("; the nearest is \"{}\"",
                           closest_match(read, choices));
    }
    add_error(field, fmt::format("must be one of \"{}\"{}",
                                 fmt::join(choices, "\", \""), hint));
    return fallback;
}

address field_reader::endpoint(std::string_view field)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return {};
    }
    if (value->is_string())
    {
        const absl::StatusOr<address> parsed =
            parse_address(value->get_ref<const std::string&>());
        if (parsed.ok())
        {
            return *parsed;
        }
    }
    add_error(field, "must be an IP number and a port, for example "
                     "\"10.0.0.1:8080\" or \"[::1]:8080\"");
    return {};
}

base::resources field_reader::resource_amounts(std::string_view field,
                                               const base::resources& lowest)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return {};
    }
    field_reader reader(*value, path_of(field), *errors_);
    base::resources result;
    result.cpu_milli =
        reader.integer("cpu_milli", lowest.cpu_milli, max_cpu_milli);
    result.memory_mb =
        reader.integer("memory_mb", lowest.memory_mb, max_memory_mb);
    result.accelerators =
        reader.integer("accelerators", lowest.accelerators, max_accelerators);
    reader.report_unknown_fields();
    return result;
}

const json* field_reader::array(std::string_view field, std::size_t max_size)
{
    const json* value = find(field, true);
    if (value == nullptr)
    {
        return nullptr;
    }
    if (!value->is_array() || value->size() > max_size)
    {
        add_error(field, fmt::format("must be an array of at most {} elements",
                                     max_size));
        return nullptr;
    }
    return value;
}

const json* field_reader::optional_object(std::string_view field)
{
    return find(field, false);
}

const json* field_reader::required_object(std::string_view field)
{
    return find(field, true);
}

void field_reader::report_unknown_fields()
{
    if (value_ == nullptr)
    {
        return;
    }
    for (const auto& member : value_->items())
    {
        const std::string& field = member.key();
        if (std::find(known_fields_.begin(), known_fields_.end(), field) !=
            known_fields_.end())
        {
            continue;
        }
        // A long or unusual field name is not shown: it may be a pasted secret.
        const bool shown = is_name(field) && field.size() <= 32;
        errors_->add(shown ? path_of(field) : path_,
                     fmt::format("unknown field; the nearest known one is "
                                 "\"{}\"",
                                 closest_match(field, known_fields_)));
    }
}

} // namespace coltsfootrack::config
