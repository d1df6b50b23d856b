#ifndef COLTSFOOTRACK_STORE_SESSION_IDENTITY_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_SESSION_IDENTITY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <string>

namespace coltsfootrack::store
{

// Identifies the writer of a session row.
struct session_identity
{
    base::daemon_id daemon;
    // Unique for each start of the daemon.
    std::string incarnation;
    base::zone_id zone;
    // The numeric address at which peers reach the daemon.
    std::string address;

    // The key of the session row.
    std::string key() const
    {
        return "session/" + daemon.text();
    }
};

} // namespace coltsfootrack::store

#endif
