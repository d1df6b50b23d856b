// Collection of the errors of one text.

#include "error_list.hpp"

#include <fmt/format.h>

namespace coltsfootrack::config
{

void error_list::add(std::string_view path, std::string_view message)
{
    if (lines_.size() == max_lines)
    {
        ++omitted_;
        return;
    }
    lines_.push_back(path.empty() ? std::string(message)
                                  : fmt::format("{}: {}", path, message));
}

void error_list::append(const error_list& other)
{
    for (const std::string& line : other.lines_)
    {
        add("", line);
    }
    omitted_ += other.omitted_;
}

bool error_list::empty() const
{
    return lines_.empty();
}

absl::Status error_list::to_status(base::error_kind kind) const
{
    if (lines_.empty())
    {
        return absl::OkStatus();
    }
    std::string text = fmt::format("{}", fmt::join(lines_, "\n"));
    if (omitted_ > 0)
    {
        text += fmt::format("\n{} more errors", omitted_);
    }
    return base::make_error(kind, text);
}

} // namespace coltsfootrack::config
