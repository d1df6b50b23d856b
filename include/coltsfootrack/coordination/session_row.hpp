#ifndef COLTSFOOTRACK_COORDINATION_SESSION_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_SESSION_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace coltsfootrack::coordination
{

// The value of `session/<daemon>`.
struct session_row
{
    // The daemon process that wrote the row; unique for each process start.
    std::string incarnation;
    base::zone_id zone;
    // The address for messages between daemons.
    std::string address;
    std::uint64_t counter = 0;
    // The token of the latest commit, unique to it; a read that shows the token
    // proves that the commit took effect.
    std::string token;
    // Set by a successor: this incarnation may no longer commit.
    bool fenced = false;

    friend bool operator==(const session_row& a, const session_row& b)
    {
        return std::tie(a.incarnation, a.zone, a.address, a.counter, a.token,
                        a.fenced) == std::tie(b.incarnation, b.zone, b.address,
                                              b.counter, b.token, b.fenced);
    }

    friend bool operator!=(const session_row& a, const session_row& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::coordination

#endif
