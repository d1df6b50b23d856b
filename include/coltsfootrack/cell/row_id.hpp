#ifndef COLTSFOOTRACK_CELL_ROW_ID_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_ROW_ID_HPP_INCLUDED

#include <string>
#include <tuple>

namespace coltsfootrack::cell
{

// Identifies a row of the platform's store. All rows of a transaction are in
// one part.
struct row_id
{
    std::string table;
    std::string part;
    std::string key;

    friend bool operator==(const row_id& a, const row_id& b)
    {
        return std::tie(a.table, a.part, a.key) ==
               std::tie(b.table, b.part, b.key);
    }

    friend bool operator!=(const row_id& a, const row_id& b)
    {
        return !(a == b);
    }

    friend bool operator<(const row_id& a, const row_id& b)
    {
        return std::tie(a.table, a.part, a.key) <
               std::tie(b.table, b.part, b.key);
    }
};

} // namespace coltsfootrack::cell

#endif
