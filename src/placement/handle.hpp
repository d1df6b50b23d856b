#ifndef COLTSFOOTRACK_PLACEMENT_HANDLE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_HANDLE_HPP_INCLUDED

#include <cstdint>

namespace coltsfootrack::placement
{

// The index of a record in its table. Handles of removed records are reused, so
// a handle that is stored for later is paired with a serial number.
using handle = std::uint32_t;

constexpr handle no_handle = UINT32_MAX;

} // namespace coltsfootrack::placement

#endif
