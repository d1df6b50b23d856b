#ifndef COLTSFOOTRACK_STORE_READ_RESULT_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_READ_RESULT_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/store/row.hpp>

#include <string_view>
#include <vector>

namespace coltsfootrack::store
{

// A consistent snapshot of some rows.
struct read_result
{
    // The sequence number of the last commit that the snapshot contains.
    version sequence = 0;
    // When the read was sent; the snapshot is not older than that.
    base::time_point sent_at;
    // The rows that exist, ordered by key.
    std::vector<row> rows;

    // The row of this key, or nullptr if it is absent.
    const row* find(std::string_view key) const;
};

} // namespace coltsfootrack::store

#endif
