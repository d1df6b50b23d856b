#ifndef COLTSFOOTRACK_DAEMON_PENDING_REPLY_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_PENDING_REPLY_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/daemon/control_loop.hpp>
#include <coltsfootrack/http/response.hpp>

#include <functional>

namespace coltsfootrack::daemon
{

// Passes the answer to the connection thread that waits for it. Calls after the
// first are ignored.
using reply_function = std::function<void(http::response)>;

// Runs a function on the control thread and blocks until it replies. Returns
// overloaded if the event queue is full, and `timeout_answer` on a timeout.
// Since the function may still run, that answer must not claim that nothing was
// done unless this is certain.
http::response run_and_wait(control_loop& loop, base::duration timeout,
                            const std::function<void(reply_function)>& action,
                            http::response timeout_answer);

} // namespace coltsfootrack::daemon

#endif
