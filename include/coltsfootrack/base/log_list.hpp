#ifndef COLTSFOOTRACK_BASE_LOG_LIST_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_LOG_LIST_HPP_INCLUDED

#include <coltsfootrack/base/log.hpp>

#include <cstddef>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfootrack::base
{

// A log line that ends in a list, to log many events of the same type in one
// line. Entries are separated by commas. The destructor writes the line; a list
// without entries writes nothing.
//
//     log_list ended(log_level::info, "fleet", "Runs ended. worker=w1 ends=");
//     ended.add("{}:{}", run, how);
//
// The string of the part must outlive the list.
class log_list
{
public:
    // A list that grows beyond this many bytes is continued in another line
    // with the same head. With the time and the level, a line stays below the
    // 4 KB that a pipe accepts atomically.
    static constexpr std::size_t max_line_bytes = 3072;

    log_list(log_level level, std::string_view part, std::string head)
        : level_(level)
        , part_(part)
        , line_(std::move(head))
        , head_size_(line_.size())
    {
    }

    ~log_list()
    {
        write();
    }

    log_list(const log_list&) = delete;
    log_list& operator=(const log_list&) = delete;

    template <class... Args>
    void add(fmt::format_string<Args...> format, Args&&... args)
    {
        if (line_.size() > max_line_bytes)
        {
            write();
        }
        if (line_.size() > head_size_)
        {
            line_ += ',';
        }
        fmt::format_to(std::back_inserter(line_), format,
                       std::forward<Args>(args)...);
    }

private:
    void write()
    {
        if (line_.size() > head_size_)
        {
            write_log(level_, part_, line_);
            line_.resize(head_size_);
        }
    }

    log_level level_;
    std::string_view part_;
    std::string line_;
    std::size_t head_size_;
};

} // namespace coltsfootrack::base

#endif
