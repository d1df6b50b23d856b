#ifndef COLTSFOOTRACK_CELL_MEMBER_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_MEMBER_ROW_HPP_INCLUDED

#include <coltsfootrack/wire/peer_address.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace coltsfootrack::cell
{

// The text of a daemon's row: where its peers connect.
std::string encode_member(const wire::peer_address& value);

// Returns internal if the text is not a daemon's row.
absl::StatusOr<wire::peer_address> decode_member(const base::daemon_id& daemon,
                                                 std::string_view text);

} // namespace coltsfootrack::cell

#endif
