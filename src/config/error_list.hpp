#ifndef COLTSFOOTRACK_CONFIG_ERROR_LIST_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_ERROR_LIST_HPP_INCLUDED

#include <coltsfootrack/base/error_kind.hpp>

#include <absl/status/status.h>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootrack::config
{

// Collects the errors of one text, so that all of them are reported at once.
// Keeps the first max_lines and only counts the rest.
//
// Thread safety: none.
class error_list
{
public:
    static constexpr std::size_t max_lines = 100;

    // Adds the line "path: message", or the message alone if the path is
    // empty. The message must not contain a value that may be a secret.
    void add(std::string_view path, std::string_view message);

    // Adds all errors of another list.
    void append(const error_list& other);

    bool empty() const;

    // OK without errors, otherwise an error of the given kind with one line
    // per error.
    absl::Status to_status(base::error_kind kind) const;

private:
    std::vector<std::string> lines_;
    std::size_t omitted_ = 0;
};

} // namespace coltsfootrack::config

#endif
