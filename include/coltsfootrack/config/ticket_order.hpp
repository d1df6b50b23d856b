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

// What an acceptor does with a ticket that is neither in conflict nor
// superseded.
enum class ticket_order
{
    // A new ticket, newer than every object it writes: commit it.
    commit,
    // The same ticket is already committed: succeed without writing.
    already_committed
};

// Checks a ticket against those already committed.
//
// recorded_hash is the content of the row `ticket/<number>`, if that exists.
// current_versions has the version of each object that the ticket writes;
// objects that are missing from it do not exist.
//
// Errors: ticket_conflict if the number is recorded with other content, or an
// object has that number as its version although it is not recorded;
// ticket_superseded if an object was written by a ticket with a higher number.
absl::StatusOr<ticket_order>
check_ticket_order(const ticket& candidate,
                   const std::optional<std::string>& recorded_hash,
                   const std::vector<object_version>& current_versions);

} // namespace coltsfootrack::config

#endif
