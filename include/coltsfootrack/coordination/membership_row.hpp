#ifndef COLTSFOOTRACK_COORDINATION_MEMBERSHIP_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_MEMBERSHIP_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace coltsfootrack::coordination
{

// `members/config` with its version (0: absent): the daemons that may accept
// tickets, in ascending order.
struct membership_row
{
    std::uint64_t version = 0;
    std::vector<base::daemon_id> members;

    friend bool operator==(const membership_row& a, const membership_row& b)
    {
        return std::tie(a.version, a.members) == std::tie(b.version, b.members);
    }

    friend bool operator!=(const membership_row& a, const membership_row& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::coordination

#endif
