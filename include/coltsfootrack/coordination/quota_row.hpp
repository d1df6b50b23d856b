#ifndef COLTSFOOTRACK_COORDINATION_QUOTA_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_COORDINATION_QUOTA_ROW_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <map>

namespace coltsfootrack::coordination
{

// `quota/<team>` with its version (0: absent): the slice of each zone.
struct quota_row
{
    std::uint64_t version = 0;
    std::map<base::zone_id, base::resources> slices;

    // The slice of one zone; zero if it has none.
    base::resources slice(const base::zone_id& zone) const
    {
        const auto found = slices.find(zone);
        return found == slices.end() ? base::resources{} : found->second;
    }

    // The sum of all slices.
    base::resources total() const
    {
        base::resources sum;
        for (const auto& [zone, amount] : slices)
        {
            sum += amount;
        }
        return sum;
    }
};

} // namespace coltsfootrack::coordination

#endif
