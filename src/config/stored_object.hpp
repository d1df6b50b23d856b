#ifndef COLTSFOOTRACK_CONFIG_STORED_OBJECT_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_STORED_OBJECT_HPP_INCLUDED

#include "error_list.hpp"

#include <coltsfootrack/config/object_row.hpp>

#include <cstdint>
#include <optional>

namespace coltsfootrack::config
{

// The content of a table row: an object and the ticket that last wrote it.
struct stored_object
{
    std::uint64_t ticket_number = 0;
    ticket_object object;
};

// Parses a row, or adds errors that name the row and returns nothing.
std::optional<stored_object> read_row(const object_row& row,
                                      error_list& errors);

} // namespace coltsfootrack::config

#endif
