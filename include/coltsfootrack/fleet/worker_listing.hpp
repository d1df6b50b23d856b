#ifndef COLTSFOOTRACK_FLEET_WORKER_LISTING_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_WORKER_LISTING_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::fleet
{

// The entry of a worker in the platform's list.
struct worker_listing
{
    base::worker_id worker;
    // A numeric IP address with a port.
    std::string address;
    base::service_id service;
    base::zone_id zone;
    base::resources capacity;
    // The kind of VM and its rack.
    std::vector<std::string> labels;
    // The worker is about to leave and accepts no new tasks.
    bool leaving = false;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(worker, address, service, zone, capacity, labels,
                        leaving);
    }

    friend bool operator==(const worker_listing& a, const worker_listing& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const worker_listing& a, const worker_listing& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
