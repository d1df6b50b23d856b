#ifndef COLTSFOOTRACK_FLEET_SERVICE_POLICY_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_SERVICE_POLICY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <tuple>

namespace coltsfootrack::fleet
{

// A group of workers that run the tasks of some queues.
struct service_policy
{
    base::service_id service;
    // The workers refuse starts beyond their capacity; otherwise only the
    // scheduler enforces it.
    bool workers_enforce_capacity = false;
    // The VMs of the service stay switched off until they are moved to another.
    bool spare = false;

    friend bool operator==(const service_policy& a, const service_policy& b)
    {
        return std::tie(a.service, a.workers_enforce_capacity, a.spare) ==
               std::tie(b.service, b.workers_enforce_capacity, b.spare);
    }

    friend bool operator!=(const service_policy& a, const service_policy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
