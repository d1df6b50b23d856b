#ifndef COLTSFOOTRACK_COORDINATION_LISTED_DAEMON_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_LISTED_DAEMON_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

namespace coltsfootrack::coordination
{

// An entry VM on the platform's list.
struct listed_daemon
{
    base::daemon_id daemon;
    base::zone_id zone;
    // The VM is about to be removed and gets no new role.
    bool leaving = false;
};

} // namespace coltsfootrack::coordination

#endif
