#ifndef COLTSFOOTRACK_CELL_TICKET_DISPATCHER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TICKET_DISPATCHER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/fleet/ticket_request_allowance.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootrack::cell
{

// Spreads requests for placement tickets over the daemons. The ticket service
// handles one request at a time from each daemon, so a request waits for the
// earlier ones of the same daemon.
//
// Thread safety: none.
class ticket_dispatcher
{
public:
    using milliseconds = std::chrono::milliseconds;

    // Requests that take longer than long_request leave one daemon free for
    // short ones.
    ticket_dispatcher(base::daemon_id self, milliseconds long_request);

    void on_link(const base::daemon_id& peer, bool up);

    // The requests that can be sent now without waiting behind others.
    fleet::ticket_request_allowance allowance(base::time_point now) const;

    // Returns the daemon that will be free first, and marks it busy with a
    // request that is expected to take this long.
    base::daemon_id acquire(milliseconds expected, base::time_point now);

    // A request of this daemon was answered or has failed.
    void release(const base::daemon_id& daemon, base::time_point now);

private:
    struct caller_state
    {
        int requests = 0;
        base::time_point busy_until;
    };

    base::daemon_id self_;
    milliseconds long_request_;
    std::map<base::daemon_id, caller_state> callers_;
};

} // namespace coltsfootrack::cell

#endif
