#ifndef COLTSFOOTRACK_CELL_CATALOGUE_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_CATALOGUE_PORT_HPP_INCLUDED

#include <coltsfootrack/fleet/catalogue.hpp>

#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace coltsfootrack::cell
{

// Where operators store the catalogue, and how it is parsed.
struct catalogue_port
{
    std::string table;
    std::string key;
    std::function<absl::StatusOr<fleet::catalogue>(const std::string& document)>
        read;
};

} // namespace coltsfootrack::cell

#endif
