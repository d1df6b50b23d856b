#ifndef COLTSFOOTRACK_COORDINATION_OWNER_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_OWNER_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::coordination
{

// The value of `owner/<zone>`. A released row has an empty daemon and keeps its
// epoch; any daemon of the zone may then take over.
struct owner_row
{
    std::uint64_t epoch = 0;
    base::daemon_id daemon;
    std::string incarnation;
    // The daemons that may take over, in ascending order.
    std::vector<base::daemon_id> candidates;

    bool is_released() const
    {
        return daemon.empty();
    }

    friend bool operator==(const owner_row& a, const owner_row& b)
    {
        return std::tie(a.epoch, a.daemon, a.incarnation, a.candidates) ==
               std::tie(b.epoch, b.daemon, b.incarnation, b.candidates);
    }

    friend bool operator!=(const owner_row& a, const owner_row& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::coordination

#endif
