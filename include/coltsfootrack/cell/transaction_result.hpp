#ifndef COLTSFOOTRACK_CELL_TRANSACTION_RESULT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TRANSACTION_RESULT_HPP_INCLUDED

#include <coltsfootrack/cell/stored_row.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::cell
{

enum class transaction_status
{
    committed,
    // A condition did not hold; nothing was done.
    conflict,
    // The store refused the call; nothing was done.
    refused,
    // No answer. The transaction may have been applied, or may be applied
    // later while its conditions hold.
    unknown
};

// What became of a transaction.
struct transaction_result
{
    transaction_status status = transaction_status::unknown;
    // The version of the written rows, if committed.
    std::uint64_t version = 0;
    // The rows of the conditions as they are, after a conflict.
    std::vector<stored_row> current;
};

} // namespace coltsfootrack::cell

#endif
