#ifndef COLTSFOOTRACK_FLEET_TICKET_POLICY_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_TICKET_POLICY_HPP_INCLUDED

#include <chrono>
#include <tuple>

namespace coltsfootrack::fleet
{

// The latency of a ticket request of a queue, which is decide_time plus
// time_per_worker for each worker named, and the lifetime of the tickets.
struct ticket_policy
{
    std::chrono::duration<double, std::milli> decide_time{0};
    std::chrono::duration<double, std::milli> time_per_worker{0};
    std::chrono::milliseconds valid_for{0};

    friend bool operator==(const ticket_policy& a, const ticket_policy& b)
    {
        return std::tie(a.decide_time, a.time_per_worker, a.valid_for) ==
               std::tie(b.decide_time, b.time_per_worker, b.valid_for);
    }

    friend bool operator!=(const ticket_policy& a, const ticket_policy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
