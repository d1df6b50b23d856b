// Formatting of JSON answers as human-readable text.

#include "text_table.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>
#include <vector>

namespace coltsfootrack::cli
{
namespace
{

using nlohmann::json;
using field = std::pair<std::string, std::string>;

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char c)
        { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; },
        ' ');
    return text;
}

std::string scalar_text(const json& value)
{
    if (value.is_string())
    {
        return printable(value.get<std::string>());
    }
    if (value.is_boolean())
    {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_null())
    {
        return "-";
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_table(const json& value)
{
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](const json& each) { return each.is_object(); });
}

std::string list_text(const json& value)
{
    std::string result;
    for (const json& each : value)
    {
        result += (result.empty() ? "" : ", ") + scalar_text(each);
    }
    return result.empty() ? "-" : result;
}

// Appends the single values of an object, and its tables to the other list.
void flatten(const json& object, const std::string& prefix,
             std::vector<field>& fields,
             std::vector<std::pair<std::string, json>>& tables)
{
    for (const auto& member : object.items())
    {
        const std::string name = prefix + printable(member.key());
        const json& value = member.value();
        if (value.is_object() && !value.empty())
        {
            flatten(value, name + ".", fields, tables);
        }
        else if (is_table(value))
        {
            tables.emplace_back(name, value);
        }
        else
        {
            fields.emplace_back(name, value.is_array() ? list_text(value)
                                                       : scalar_text(value));
        }
    }
}

// "type", then "id" and "name", then the others in alphabetical order.
std::vector<std::string> column_order(const std::vector<std::string>& names)
{
    std::vector<std::string> result = names;
    const auto rank = [](const std::string& name)
    {
        return name == "type" ? 0 : name == "id" || name == "name" ? 1 : 2;
    };
    std::sort(result.begin(), result.end(),
              [&rank](const std::string& a, const std::string& b)
              { return std::pair(rank(a), a) < std::pair(rank(b), b); });
    return result;
}

std::string table_text(const std::vector<std::vector<field>>& rows)
{
    std::map<std::string, std::size_t> widths;
    std::vector<std::string> names;
    for (const auto& row : rows)
    {
        for (const auto& [name, text] : row)
        {
            if (widths.find(name) == widths.end())
            {
                names.push_back(name);
                widths[name] = name.size();
            }
            widths[name] = std::max(widths[name], text.size());
        }
    }
    names = column_order(names);
    std::string result;
    const auto append_line =
        [&](const std::map<std::string, std::string>& cells)
    {
        std::string line;
        for (const std::string& name : names)
        {
            const auto found = cells.find(name);
            line += fmt::format("{:<{}}  ",
                                found == cells.end() ? "-" : found->second,
                                widths[name]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + "\n";
    };
    std::map<std::string, std::string> head;
    for (const std::string& name : names)
    {
        head[name] = name;
    }
    append_line(head);
    for (const auto& row : rows)
    {
        append_line({row.begin(), row.end()});
    }
    return result;
}

void append_table(const std::string& title, const json& elements,
                  std::string& result)
{
    std::map<std::string, std::vector<std::vector<field>>> groups;
    for (const json& each : elements)
    {
        const auto type = each.find("type");
        std::string group = title;
        if (type != each.end() && type->is_string())
        {
            group += ": " + scalar_text(*type);
        }
        std::vector<field> fields;
        std::vector<std::pair<std::string, json>> inner;
        flatten(each, "", fields, inner);
        for (const auto& [name, value] : inner)
        {
            fields.emplace_back(name, fmt::format("{} rows", value.size()));
        }
        groups[group].push_back(std::move(fields));
    }
    for (const auto& [group, rows] : groups)
    {
        result += (result.empty() ? "" : "\n") + group + "\n";
        result += table_text(rows);
    }
}

} // namespace

std::string text_of(const json& object)
{
    std::vector<field> fields;
    std::vector<std::pair<std::string, json>> tables;
    flatten(object, "", fields, tables);
    std::size_t width = 0;
    for (const field& each : fields)
    {
        width = std::max(width, each.first.size());
    }
    std::string result;
    for (const auto& [name, text] : fields)
    {
        result += fmt::format("{:<{}}  {}\n", name, width, text);
    }
    for (const auto& [title, elements] : tables)
    {
        append_table(title, elements, result);
    }
    return result;
}

} // namespace coltsfootrack::cli
