#ifndef COLTSFOOTRACK_PLACEMENT_SERIAL_HANDLE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SERIAL_HANDLE_HPP_INCLUDED

#include "handle.hpp"

#include <cstdint>

namespace coltsfootrack::placement
{

// A handle that is kept for later, with the serial number of the record that
// it meant.
struct serial_handle
{
    handle place = no_handle;
    std::uint64_t serial = 0;
};

} // namespace coltsfootrack::placement

#endif
