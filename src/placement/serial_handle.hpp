#ifndef COLTSFOOTRACK_PLACEMENT_SERIAL_HANDLE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SERIAL_HANDLE_HPP_INCLUDED

#include "handle.hpp"

#include <cstdint>

namespace coltsfootrack::placement
{

// A stored handle with the serial number of its record, which tells whether the
// handle still means the same record.
struct serial_handle
{
    handle record = no_handle;
    std::uint64_t serial = 0;
};

} // namespace coltsfootrack::placement

#endif
