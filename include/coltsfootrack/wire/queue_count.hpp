#ifndef COLTSFOOTRACK_WIRE_QUEUE_COUNT_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_QUEUE_COUNT_HPP_INCLUDED

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// The number of accepted jobs of one queue of which no task has started.
struct queue_count
{
    std::string queue;
    std::uint32_t waiting = 0;

    friend bool operator==(const queue_count& a, const queue_count& b)
    {
        return a.queue == b.queue && a.waiting == b.waiting;
    }

    friend bool operator!=(const queue_count& a, const queue_count& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
