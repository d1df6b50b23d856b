#ifndef COLTSFOOTRACK_CONFIG_STORE_BUDGET_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_STORE_BUDGET_HPP_INCLUDED

#include <cstdint>
#include <tuple>

namespace coltsfootrack::config
{

// Rate limits of one daemon's requests to the platform's table. With the
// defaults, 18 daemons together stay under 400 writes and 2000 reads a second.
struct store_budget
{
    // Commits a second, 1 to 1000.
    std::uint32_t writes_per_second = 20;
    // Reads a second, 1 to 10000.
    std::uint32_t reads_per_second = 100;

    friend bool operator==(const store_budget& a, const store_budget& b)
    {
        return std::tie(a.writes_per_second, a.reads_per_second) ==
               std::tie(b.writes_per_second, b.reads_per_second);
    }

    friend bool operator!=(const store_budget& a, const store_budget& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
