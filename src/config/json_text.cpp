// Parsing of JSON with comments; duplicate fields are errors.

#include "json_text.hpp"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::config
{
namespace
{

using nlohmann::json;

// Finds duplicate fields of an object from the parser's events.
class duplicate_field_finder
{
public:
    explicit duplicate_field_finder(error_list& errors)
        : errors_(&errors)
    {
    }

    void on_event(json::parse_event_t event, const json& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            begin_element();
            levels_.emplace_back();
            levels_.back().is_array = event == json::parse_event_t::array_start;
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            levels_.pop_back();
            break;
        case json::parse_event_t::key:
            levels_.back().key = parsed.get<std::string>();
            if (!levels_.back().seen.insert(levels_.back().key).second)
            {
                errors_->add(path(), "the field occurs twice");
            }
            break;
        case json::parse_event_t::value:
            begin_element();
            break;
        }
    }

private:
    struct level
    {
        bool is_array = false;
        // For an array: the number of elements that have begun.
        std::size_t count = 0;
        // For an object: the current field and all fields so far.
        std::string key;
        std::set<std::string> seen;
    };

    void begin_element()
    {
        if (!levels_.empty() && levels_.back().is_array)
        {
            ++levels_.back().count;
        }
    }

    std::string path() const
    {
        std::string text;
        for (const level& each : levels_)
        {
            if (each.is_array)
            {
                text += fmt::format("[{}]", each.count - 1);
            }
            else
            {
                text += text.empty() ? each.key : "." + each.key;
            }
        }
        return text;
    }

    error_list* errors_;
    std::vector<level> levels_;
};

// The position, for example "line 3, column 7", of a byte counted from 1.
std::string line_and_column(std::string_view text, std::size_t byte)
{
    const std::string_view before =
        text.substr(0, std::min(byte > 0 ? byte - 1 : 0, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t newline = before.rfind('\n');
    const std::size_t column = newline == std::string_view::npos
                                   ? before.size() + 1
                                   : before.size() - newline;
    return fmt::format("line {}, column {}", line, column);
}

} // namespace

std::optional<json> parse_json(std::string_view text, std::size_t max_bytes,
                               error_list& errors)
{
    if (text.size() > max_bytes)
    {
        errors.add("", fmt::format("the text has {} bytes; at most {} are "
                                   "accepted",
                                   text.size(), max_bytes));
        return std::nullopt;
    }
    error_list duplicates;
    duplicate_field_finder finder(duplicates);
    const json::parser_callback_t callback =
        [&finder](int /*depth*/, json::parse_event_t event, json& parsed)
    {
        finder.on_event(event, parsed);
        return true;
    };
    try
    {
        json value =
            json::parse(text.begin(), text.end(), callback, true, true);
        if (duplicates.empty())
        {
            return value;
        }
        errors.append(duplicates);
    }
    catch (const json::parse_error& error)
    {
        errors.add(line_and_column(text, error.byte),
                   error.byte > text.size() ? "the JSON text ends too early"
                                            : "not valid JSON");
    }
    catch (const json::exception&)
    {
        errors.add("", "a number is too large");
    }
    return std::nullopt;
}

} // namespace coltsfootrack::config
