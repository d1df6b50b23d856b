#ifndef COLTSFOOTRACK_STORE_TABLE_HOOKS_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TABLE_HOOKS_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <functional>

namespace coltsfootrack::store
{

// Callbacks for the events of a session. They run on the commit thread and must
// not block.
struct table_hooks
{
    // A commit of this daemon is known to have applied; the session lease runs
    // from the time before that commit was sent. The first call means that the
    // session is registered.
    std::function<void(base::time_point commit_start)> on_renewal;
    // The session was fenced: nothing can be committed any more. Called once;
    // all waiting mutations are reported as failed (fenced).
    std::function<void()> on_fenced;
};

} // namespace coltsfootrack::store

#endif
