// Chooses the daemon that sends a ticket request.

#include <coltsfootrack/cell/ticket_dispatcher.hpp>

#include <algorithm>

namespace coltsfootrack::cell
{
namespace
{

// The most requests in flight from one daemon: the service handles one while
// the next is on its way.
constexpr int max_requests = 2;

// A daemon that will be free within this time can send the next request.
constexpr std::chrono::milliseconds soon_free{30};

} // namespace

ticket_dispatcher::ticket_dispatcher(base::daemon_id self,
                                     milliseconds long_request)
    : self_(std::move(self))
    , long_request_(long_request)
{
    callers_[self_];
}

void ticket_dispatcher::on_link(const base::daemon_id& peer, bool up)
{
    if (up)
    {
        callers_[peer];
    }
    else if (peer != self_)
    {
        callers_.erase(peer);
    }
}

fleet::ticket_request_allowance
ticket_dispatcher::allowance(base::time_point now) const
{
    const auto free = static_cast<std::size_t>(
        std::count_if(callers_.begin(), callers_.end(),
                      [now](const auto& entry)
                      {
                          return entry.second.requests < max_requests &&
                                 entry.second.busy_until <= now + soon_free;
                      }));
    fleet::ticket_request_allowance allowance;
    allowance.total = free;
    allowance.long_requests = callers_.size() > 1 && free > 0 ? free - 1 : free;
    allowance.long_request = long_request_;
    return allowance;
}

base::daemon_id ticket_dispatcher::acquire(milliseconds expected,
                                           base::time_point now)
{
    const auto best =
        std::min_element(callers_.begin(), callers_.end(),
                         [](const auto& a, const auto& b)
                         { return a.second.busy_until < b.second.busy_until; });
    caller_state& taken = best->second;
    ++taken.requests;
    taken.busy_until = std::max(taken.busy_until, now) + expected;
    return best->first;
}

void ticket_dispatcher::release(const base::daemon_id& daemon,
                                base::time_point now)
{
    const auto found = callers_.find(daemon);
    if (found == callers_.end())
    {
        return;
    }
    caller_state& released = found->second;
    released.requests = std::max(0, released.requests - 1);
    if (released.requests == 0)
    {
        released.busy_until = now;
    }
}

} // namespace coltsfootrack::cell
