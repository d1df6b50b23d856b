#ifndef COLTSFOOTRACK_CONFIG_OBJECT_FIELDS_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_OBJECT_FIELDS_HPP_INCLUDED

#include "error_list.hpp"

#include <coltsfootrack/config/ticket_object.hpp>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace coltsfootrack::config
{

// Reads one object of a ticket, or adds errors that begin with the path and
// returns nothing.
std::optional<ticket_object> read_object(const nlohmann::json& value,
                                         const std::string& path,
                                         error_list& errors);

// All fields of an object, defaults included.
nlohmann::json write_object(const ticket_object& object);

} // namespace coltsfootrack::config

#endif
