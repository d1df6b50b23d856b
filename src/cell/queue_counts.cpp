// Reads the counts of waiting jobs from a status.

#include <coltsfootrack/cell/queue_counts.hpp>

namespace coltsfootrack::cell
{

std::optional<std::map<std::string, int>>
queue_counts_of(const wire::cell_status& status)
{
    if (!status.leading || !status.queues_known)
    {
        return std::nullopt;
    }
    std::map<std::string, int> counts;
    for (const wire::queue_count& count : status.queues)
    {
        counts[count.queue] = static_cast<int>(count.waiting);
    }
    return counts;
}

} // namespace coltsfootrack::cell
