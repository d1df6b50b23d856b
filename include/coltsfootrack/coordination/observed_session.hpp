#ifndef COLTSFOOTRACK_COORDINATION_OBSERVED_SESSION_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OBSERVED_SESSION_HPP_INCLUDED

#include <coltsfootrack/coordination/session_row.hpp>

#include <cstdint>

namespace coltsfootrack::coordination
{

// A session row as read from the table, with its version (0: absent).
struct observed_session
{
    std::uint64_t version = 0;
    session_row row;
};

} // namespace coltsfootrack::coordination

#endif
