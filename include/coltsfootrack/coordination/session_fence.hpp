#ifndef COLTSFOOTRACK_COORDINATION_SESSION_FENCE_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_SESSION_FENCE_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/coordination/session_row.hpp>

#include <cstdint>

namespace coltsfootrack::coordination
{

// The part of a takeover commit that ends the previous owner's session.
struct session_fence
{
    base::daemon_id daemon;
    // Condition: the session row still has this version.
    std::uint64_t version = 0;
    // The row to write, with fenced set. Not written if version is 0: an
    // absent row is only a condition.
    session_row row;
};

} // namespace coltsfootrack::coordination

#endif
