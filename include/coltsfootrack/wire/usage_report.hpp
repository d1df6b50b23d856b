#ifndef COLTSFOOTRACK_WIRE_USAGE_REPORT_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_USAGE_REPORT_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/wire/team_usage.hpp>

#include <cstdint>
#include <vector>

namespace coltsfootrack::wire
{

// The usage of a zone by team, sent by the zone's owner every 10 s.
struct usage_report
{
    base::zone_id zone;
    std::uint64_t epoch = 0;
    // In the order of the sender.
    std::vector<team_usage> teams;

    friend bool operator==(const usage_report& a, const usage_report& b)
    {
        return a.zone == b.zone && a.epoch == b.epoch && a.teams == b.teams;
    }

    friend bool operator!=(const usage_report& a, const usage_report& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
