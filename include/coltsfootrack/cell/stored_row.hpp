#ifndef COLTSFOOTRACK_CELL_STORED_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_STORED_ROW_HPP_INCLUDED

#include <coltsfootrack/cell/row_id.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::cell
{

// A row as the store returned it.
struct stored_row
{
    row_id id;
    std::string value;
    // The transaction that wrote it; 0 if the row does not exist.
    std::uint64_t version = 0;

    bool exists() const
    {
        return version != 0;
    }

    friend bool operator==(const stored_row& a, const stored_row& b)
    {
        return std::tie(a.id, a.value, a.version) ==
               std::tie(b.id, b.value, b.version);
    }

    friend bool operator!=(const stored_row& a, const stored_row& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::cell

#endif
