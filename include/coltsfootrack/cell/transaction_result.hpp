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
    // A condition did not hold; nothing was written.
    conflict,
    // The store refused the call; nothing was written.
    refused,
    // The store will never take this transaction, such as one with a row that
    // is too long; nothing was written.
    rejected,
    // No answer. The transaction may have been applied, or may still be
    // applied while its conditions hold.
    unknown
};

// The result of a transaction.
struct transaction_result
{
    transaction_status status = transaction_status::unknown;
    // The new version of the written rows, if committed.
    std::uint64_t version = 0;
    // After a conflict: the current rows of the conditions.
    std::vector<stored_row> current;
};

} // namespace coltsfootrack::cell

#endif
