#ifndef COLTSFOOTRACK_CELL_STORE_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_STORE_PORT_HPP_INCLUDED

#include <coltsfootrack/cell/read_result.hpp>
#include <coltsfootrack/cell/transaction.hpp>
#include <coltsfootrack/cell/transaction_result.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace coltsfootrack::cell
{

// The platform's store, as a cell uses it. Every call invokes its callback
// within a bounded time, on any thread.
struct store_port
{
    using transaction_callback = std::function<void(transaction_result)>;
    using read_callback = std::function<void(read_result)>;

    std::function<void(const transaction&, transaction_callback)> transact;

    // Reads at most `limit` rows of a table and part from a key on (empty: from
    // the first). Fails only if no answer begins, or one stops arriving: it may
    // take long on a thin link.
    std::function<void(const std::string& table, const std::string& part,
                       const std::string& from, std::size_t limit,
                       read_callback)>
        read;

    // Reads one row.
    std::function<void(const row_id&, read_callback)> read_row;

    // Reads the changes of a table in all parts after a version. Waits for one
    // if there are none yet.
    std::function<void(const std::string& table, std::uint64_t after,
                       std::chrono::milliseconds wait, read_callback)>
        follow;
};

} // namespace coltsfootrack::cell

#endif
