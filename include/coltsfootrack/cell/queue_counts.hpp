#ifndef COLTSFOOTRACK_CELL_QUEUE_COUNTS_HPP_INCLUDED
#define COLTSFOOTRACK_CELL_QUEUE_COUNTS_HPP_INCLUDED

#include <coltsfootrack/wire/cell_status.hpp>

#include <map>
#include <optional>
#include <string>

namespace coltsfootrack::cell
{

// The number of waiting jobs of each queue that has any, as a status reports
// them. Nothing if the sender does not lead, or has not loaded the jobs yet:
// its empty list would otherwise say that nothing waits.
std::optional<std::map<std::string, int>>
queue_counts_of(const wire::cell_status& status);

} // namespace coltsfootrack::cell

#endif
