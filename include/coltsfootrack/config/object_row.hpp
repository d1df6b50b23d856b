#ifndef COLTSFOOTRACK_CONFIG_OBJECT_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_OBJECT_ROW_HPP_INCLUDED

#include <coltsfootrack/config/ticket_object.hpp>

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfootrack::config
{

// The row `config/object/<kind>/<name>` of the platform's table.
struct object_row
{
    std::string kind;
    std::string name;
    // {"object": the canonical object, "ticket": the number of the ticket that
    // last wrote it}.
    std::string json;
};

// The row that a ticket with the given number writes for an object.
object_row make_row(std::uint64_t ticket_number, const ticket_object& object);

// The table key of a row.
std::string row_key(std::string_view kind, std::string_view name);

} // namespace coltsfootrack::config

#endif
