#ifndef COLTSFOOTRACK_CELL_RETRY_AFTER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_RETRY_AFTER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>

namespace coltsfootrack::cell
{

// When a caller that was refused for want of the store may come back.
//
// Load pattern: the store is down for all daemons for some seconds, and callers
// give up after some attempts. An outage that has lasted for a while is
// expected to last as long again, so the time grows with the age of the outage:
// callers with a fixed second use up their attempts while it lasts. The bounds
// keep a short outage short, and let callers be back soon after a long one.
std::chrono::seconds retry_after(base::duration outage_age);

} // namespace coltsfootrack::cell

#endif
