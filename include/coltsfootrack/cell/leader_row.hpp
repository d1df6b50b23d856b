#ifndef COLTSFOOTRACK_CELL_LEADER_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_LEADER_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace coltsfootrack::cell
{

// The stored row that names the leader.
struct leader_row
{
    // The fencing token; increases with each leader.
    std::uint64_t epoch = 0;
    base::daemon_id daemon;
    std::uint64_t incarnation = 0;
    // The version of the row; 0 if there is no row.
    std::uint64_t version = 0;

    friend bool operator==(const leader_row& a, const leader_row& b)
    {
        return std::tie(a.epoch, a.daemon, a.incarnation, a.version) ==
               std::tie(b.epoch, b.daemon, b.incarnation, b.version);
    }

    friend bool operator!=(const leader_row& a, const leader_row& b)
    {
        return !(a == b);
    }
};

// The text of the row, without its version.
std::string encode(const leader_row& value);

// Returns internal if the text is not a leader row.
absl::StatusOr<leader_row> decode_leader_row(std::string_view text,
                                             std::uint64_t version);

} // namespace coltsfootrack::cell

#endif
