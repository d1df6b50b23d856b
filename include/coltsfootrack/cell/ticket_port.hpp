#ifndef COLTSFOOTRACK_CELL_TICKET_PORT_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TICKET_PORT_HPP_INCLUDED

#include <coltsfootrack/fleet/ticket_grant.hpp>
#include <coltsfootrack/jobs/step_key.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace coltsfootrack::cell
{

// Asks the ticket service which of the workers may run a step. The result is
// nullopt if it refused or did not answer within the limit. The callback runs
// on any thread.
using ticket_port = std::function<void(
    const jobs::step_key&, const std::vector<base::worker_id>&,
    std::chrono::milliseconds limit,
    std::function<void(std::optional<std::vector<fleet::ticket_grant>>)>)>;

} // namespace coltsfootrack::cell

#endif
