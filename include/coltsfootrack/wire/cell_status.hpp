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

// Sent to every peer several times a second: what the sender knows of the
// leader, and whether it could lead.
struct cell_status
{
    // The highest epoch that the sender knows, and its leader; empty for none.
    std::uint64_t epoch = 0;
    base::daemon_id leader;
    // The sender is that leader and acts as such.
    bool leading = false;
    // The sender is being stopped and hands over.
    bool stopping = false;
    // Since the store last answered the sender; nothing if it never did.
    std::optional<std::chrono::milliseconds> store_age;
    // Since the sender last heard from the leader.
    std::optional<std::chrono::milliseconds> leader_age;
    // How long the store takes to answer the sender.
    std::chrono::milliseconds store_delay{0};
    std::uint64_t catalogue_version = 0;
    // The processor of the sender's VM, in thousandths of a core.
    std::uint32_t processor_milli = 0;
    // Only from the leader.
    std::vector<queue_count> queues;

    friend bool operator==(const cell_status& a, const cell_status& b)
    {
        return a.epoch == b.epoch && a.leader == b.leader &&
               a.leading == b.leading && a.stopping == b.stopping &&
               a.store_age == b.store_age && a.leader_age == b.leader_age &&
               a.store_delay == b.store_delay &&
               a.catalogue_version == b.catalogue_version &&
               a.queues == b.queues && a.processor_milli == b.processor_milli;
    }

    friend bool operator!=(const cell_status& a, const cell_status& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
