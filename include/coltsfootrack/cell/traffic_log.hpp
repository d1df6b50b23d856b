#ifndef COLTSFOOTRACK_CELL_TRAFFIC_LOG_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_TRAFFIC_LOG_HPP_INCLUDED

#include <coltsfootrack/cell/byte_counts.hpp>

#include <map>
#include <string>

namespace coltsfootrack::cell
{

// Describes what a daemon's link carried since the last call, to distinguish a
// saturated link from a slow store.
//
// Thread safety: none.
class traffic_log
{
public:
    // Takes the totals by purpose so far and returns the fields of a log line:
    // the sums since the last call, then each purpose with its bytes sent and
    // received, the largest first. Empty if there was no traffic.
    std::string next_fields(const std::map<std::string, byte_counts>& totals);

private:
    std::map<std::string, byte_counts> last_;
};

} // namespace coltsfootrack::cell

#endif
