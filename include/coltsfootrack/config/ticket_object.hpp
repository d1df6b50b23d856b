#ifndef COLTSFOOTRACK_CONFIG_TICKET_OBJECT_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TICKET_OBJECT_HPP_INCLUDED

#include <coltsfootrack/config/queue.hpp>
#include <coltsfootrack/config/service.hpp>
#include <coltsfootrack/config/team.hpp>
#include <coltsfootrack/config/team_key.hpp>
#include <coltsfootrack/config/workload.hpp>

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>

namespace coltsfootrack::config
{

// One object of a ticket, always with its full new state.
using ticket_object = std::variant<team, team_key, workload, service, queue>;

// The kind in table keys: "team", "key", "workload", "service" or "queue".
std::string_view kind_name(const ticket_object& object);

// The name of the object, unique within its kind.
const std::string& name_of(const ticket_object& object);

// The object as JSON without spaces, with all fields in alphabetical order, so
// that equal objects have equal texts.
std::string canonical_json(const ticket_object& object);

// Parses an object as it stands in a ticket's "objects". All errors are
// reported at once: invalid_ticket, one line "path: message" per error.
absl::StatusOr<ticket_object> parse_object(std::string_view text);

} // namespace coltsfootrack::config

#endif
