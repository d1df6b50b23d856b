#ifndef COLTSFOOTRACK_CELL_TRANSACTION_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TRANSACTION_HPP_INCLUDED

#include <coltsfootrack/cell/row_id.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::cell
{

// Requires a row to have this version; 0 requires that it does not exist.
struct row_condition
{
    row_id row;
    std::uint64_t version = 0;

    friend bool operator==(const row_condition& a, const row_condition& b)
    {
        return a.row == b.row && a.version == b.version;
    }

    friend bool operator!=(const row_condition& a, const row_condition& b)
    {
        return !(a == b);
    }
};

// A new value of a row; nullopt removes it.
struct row_write
{
    row_id row;
    std::optional<std::string> value;

    friend bool operator==(const row_write& a, const row_write& b)
    {
        return a.row == b.row && a.value == b.value;
    }

    friend bool operator!=(const row_write& a, const row_write& b)
    {
        return !(a == b);
    }
};

// Writes that are applied atomically if all conditions hold. All rows are in
// one part.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;

    friend bool operator==(const transaction& a, const transaction& b)
    {
        return std::tie(a.conditions, a.writes) ==
               std::tie(b.conditions, b.writes);
    }

    friend bool operator!=(const transaction& a, const transaction& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::cell

#endif
