#ifndef COLTSFOOTRACK_CELL_READ_RESULT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_READ_RESULT_HPP_INCLUDED

#include <coltsfootrack/cell/stored_row.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::cell
{

enum class read_status
{
    ok,
    // The store no longer keeps the requested changes.
    history_gone,
    // Refused or not answered.
    failed
};

// The result of reading a range of rows or the changes of a table.
struct read_result
{
    read_status status = read_status::failed;
    // Ordered by key, or by version for changes; a removed row has version 0.
    std::vector<stored_row> rows;
    // Whether there are more rows after the last one.
    bool more = false;
    // The newest version of the store at the time of the read.
    std::uint64_t version = 0;
};

} // namespace coltsfootrack::cell

#endif
