// Header fields with case-insensitive names.

#include <coltsfootrack/http/header_list.hpp>

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace coltsfootrack::http
{
namespace
{

bool same_name(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

void header_list::add(std::string name, std::string value)
{
    fields_.emplace_back(std::move(name), std::move(value));
}

std::string_view header_list::value(std::string_view name) const
{
    for (const field& entry : fields_)
    {
        if (same_name(entry.first, name))
        {
            return entry.second;
        }
    }
    return {};
}

bool header_list::contains(std::string_view name) const
{
    for (const field& entry : fields_)
    {
        if (same_name(entry.first, name))
        {
            return true;
        }
    }
    return false;
}

} // namespace coltsfootrack::http
