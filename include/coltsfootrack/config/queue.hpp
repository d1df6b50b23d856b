#ifndef COLTSFOOTRACK_CONFIG_QUEUE_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_QUEUE_HPP_INCLUDED

#include <string>
#include <tuple>

namespace coltsfootrack::config
{

// A queue groups workloads and services so that one ticket object can open or
// close all of them to callers without a key. A workload or service accepts
// work without a key only if it is open itself and the queue that it names, if
// any, exists and is open.
struct queue
{
    std::string name;
    bool open = false;
    // A deleted queue counts as closed; its row stays as a tombstone.
    bool deleted = false;

    friend bool operator==(const queue& a, const queue& b)
    {
        return std::tie(a.name, a.open, a.deleted) ==
               std::tie(b.name, b.open, b.deleted);
    }

    friend bool operator!=(const queue& a, const queue& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
