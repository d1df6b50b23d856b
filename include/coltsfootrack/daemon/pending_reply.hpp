#ifndef COLTSFOOTRACK_DAEMON_PENDING_REPLY_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_PENDING_REPLY_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/http/response.hpp>

#include <functional>

namespace coltsfootrack::daemon
{

// Gives the answer of a request to the connection thread that waits for it.
// Only the first call counts.
using reply_function = std::function<void(http::response)>;

// Runs a function on the control thread and waits for its answer. Answers
// overloaded if the event queue is full, and the given late answer if none
// arrives in time. The late answer must not claim that nothing was done unless
// that is certain.
http::response ask_control(control_loop& loop, base::duration limit,
                           const std::function<void(reply_function)>& action,
                           http::response late);

} // namespace coltsfootrack::daemon

#endif
