#ifndef COLTSFOOTRACK_HTTP_HEADER_LIST_HPP_INCLUDED
#define COLTSFOOTRACK_HTTP_HEADER_LIST_HPP_INCLUDED

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace coltsfootrack::http
{

// The header fields of a message, in insertion order. Names are compared
// without regard to case.
//
// Thread safety: as a standard container.
class header_list
{
public:
    using field = std::pair<std::string, std::string>;

    header_list() = default;

    header_list(std::initializer_list<field> fields)
        : fields_(fields)
    {
    }

    // Appends a field; earlier ones of the same name stay.
    void add(std::string name, std::string value);

    // The value of the first field of this name, or an empty view. The view is
    // valid until the list is modified.
    std::string_view value(std::string_view name) const;

    // Whether a field of this name exists.
    bool contains(std::string_view name) const;

    const std::vector<field>& fields() const
    {
        return fields_;
    }

    friend bool operator==(const header_list& a, const header_list& b)
    {
        return a.fields_ == b.fields_;
    }

    friend bool operator!=(const header_list& a, const header_list& b)
    {
        return !(a == b);
    }

private:
    std::vector<field> fields_;
};

} // namespace coltsfootrack::http

#endif
