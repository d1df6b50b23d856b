#ifndef COLTSFOOTRACK_CELL_TICKET_DISPATCHER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TICKET_DISPATCHER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/fleet/ticket_slots.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootrack::cell
{

// Spreads requests for placement tickets over the daemons. The deciding service
// takes one request at a time from each of them, so the time of an answer is
// that of the requests of the same daemon before it.
//
// Thread safety: none.
class ticket_dispatcher
{
public:
    using milliseconds = std::chrono::milliseconds;

    // Requests that take longer than long_request leave one daemon free.
    ticket_dispatcher(base::daemon_id self, milliseconds long_request);

    void on_link(const base::daemon_id& peer, bool up);

    // What can be asked for now without waiting behind other requests.
    fleet::ticket_slots slots(base::time_point now) const;

    // Takes the daemon that is free first, for a request that is expected to
    // take this long, and notes that it is busy.
    base::daemon_id acquire(milliseconds expected, base::time_point now);

    // The request of a daemon was answered or failed.
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
