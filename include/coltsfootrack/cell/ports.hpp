#ifndef COLTSFOOTRACK_CELL_PORTS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PORTS_HPP_INCLUDED

#include <coltsfootrack/cell/byte_counts.hpp>
#include <coltsfootrack/cell/catalogue_port.hpp>
#include <coltsfootrack/cell/store_port.hpp>
#include <coltsfootrack/cell/ticket_port.hpp>
#include <coltsfootrack/cell/worker_port.hpp>

#include <functional>
#include <map>
#include <string>

namespace coltsfootrack::cell
{

// The interfaces of the platform that a cell uses.
struct ports
{
    store_port store;
    worker_port workers;
    ticket_port tickets;
    catalogue_port catalogue;
    // The bytes sent and received so far in calls to the platform, by purpose.
    // Optional.
    std::function<std::map<std::string, byte_counts>()> traffic;
};

} // namespace coltsfootrack::cell

#endif
