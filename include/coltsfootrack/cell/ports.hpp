#ifndef COLTSFOOTRACK_CELL_PORTS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_PORTS_HPP_INCLUDED

#include <coltsfootrack/cell/catalogue_port.hpp>
#include <coltsfootrack/cell/store_port.hpp>
#include <coltsfootrack/cell/ticket_port.hpp>
#include <coltsfootrack/cell/worker_port.hpp>

namespace coltsfootrack::cell
{

// The interfaces of the platform that a cell uses.
struct ports
{
    store_port store;
    worker_port workers;
    ticket_port tickets;
    catalogue_port catalogue;
};

} // namespace coltsfootrack::cell

#endif
