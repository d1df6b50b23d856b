#ifndef COLTSFOOTRACK_CONFIG_TICKET_ORDER_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_TICKET_ORDER_HPP_INCLUDED

#include <coltsfootrack/config/object_version.hpp>
#include <coltsfootrack/config/ticket.hpp>

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootrack::config
{

// What an acceptor does with a ticket that is in order.
enum class ticket_order
{
    // It is new and newer than all it touches: commit it.
    commit,
    // The same ticket is already committed: answer success, write nothing.
    already_committed
};

// Decides the order of a ticket among those already committed.
//
// recorded_hash is the content of the row `ticket/<number>`, if that exists.
// in_force has the version of each touched object; objects that are missing
// from it do not exist.
//
// Errors: ticket_conflict if the number is recorded with other content, or an
// object carries the number although it is not recorded; ticket_superseded if
// a touched object was written by a ticket with a higher number.
absl::StatusOr<ticket_order>
check_ticket_order(const ticket& candidate,
                   const std::optional<std::string>& recorded_hash,
                   const std::vector<object_version>& in_force);

} // namespace coltsfootrack::config

#endif
