#ifndef COLTSFOOTRACK_WIRE_CELL_STATUS_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CELL_STATUS_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/wire/queue_count.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace coltsfootrack::wire
{

// Sent to every peer several times a second: the leader as the sender knows it,
// and whether the sender could lead.
struct cell_status
{
    // The highest epoch that the sender knows, and its leader; empty for none.
    std::uint64_t epoch = 0;
    base::daemon_id leader;
    // Whether the sender is that leader and acts as such.
    bool leading = false;
    // Whether the sender is shutting down and hands over leadership.
    bool stopping = false;
    // Time since the store last answered the sender; absent if it never did.
    std::optional<std::chrono::milliseconds> store_age;
    // Time since the sender last received a message from the leader.
    std::optional<std::chrono::milliseconds> leader_age;
    // The response time of the store as the sender measures it.
    std::chrono::milliseconds store_delay{0};
    std::uint64_t catalogue_version = 0;
    // Time since the store last told the sender whether its catalogue has
    // changed; absent if the sender does not follow it there or got no answer.
    std::optional<std::chrono::milliseconds> catalogue_age;
    // The CPU capacity of the sender's VM, in thousandths of a core.
    std::uint32_t processor_milli = 0;
    // The sender's monotonic clock when it sent the status. Others send it back
    // plus the time that has passed since; it means nothing else to them.
    std::optional<std::chrono::milliseconds> clock;
    // Whether the sender is a leader that has loaded all jobs, so that a queue
    // not in the list is empty.
    bool queues_known = false;
    std::vector<queue_count> queues;

    friend bool operator==(const cell_status& a, const cell_status& b)
    {
        return a.epoch == b.epoch && a.leader == b.leader &&
               a.leading == b.leading && a.stopping == b.stopping &&
               a.store_age == b.store_age && a.leader_age == b.leader_age &&
               a.store_delay == b.store_delay &&
               a.catalogue_version == b.catalogue_version &&
               a.queues == b.queues && a.processor_milli == b.processor_milli &&
               a.clock == b.clock && a.queues_known == b.queues_known &&
               a.catalogue_age == b.catalogue_age;
    }

    friend bool operator!=(const cell_status& a, const cell_status& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
