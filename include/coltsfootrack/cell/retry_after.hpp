#ifndef COLTSFOOTRACK_CELL_RETRY_AFTER_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_RETRY_AFTER_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

#include <chrono>

namespace coltsfootrack::cell
{

// When a caller that was refused because the store is down may retry.
//
// When the store is down for all daemons for some seconds, callers give up
// after some attempts. With a fixed delay of one second they would use up their
// attempts during the outage. An outage is expected to last as long again as it
// has lasted so far, so the delay grows with its age. The bounds keep a short
// outage short, and let callers return soon after a long one.
std::chrono::seconds retry_after(base::duration outage_age);

} // namespace coltsfootrack::cell

#endif
