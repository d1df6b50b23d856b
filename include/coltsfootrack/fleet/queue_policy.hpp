#ifndef COLTSFOOTRACK_FLEET_QUEUE_POLICY_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_QUEUE_POLICY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/fleet/ticket_policy.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <tuple>

namespace coltsfootrack::fleet
{

// A queue that callers submit jobs to, and how its jobs are scheduled.
struct queue_policy
{
    std::string name;
    // The host and the path prefix that callers address.
    std::string host;
    std::string path_prefix;
    // The service whose workers run the tasks.
    base::service_id service;
    // 0 is the highest.
    int priority = 0;
    // A task that has failed this many times fails its job.
    int max_attempts = 1;
    // A job is on time within stretch times its critical path plus slack.
    double stretch = 1;
    std::chrono::milliseconds slack{0};
    // How long callers wait for an answer.
    std::chrono::milliseconds call_timeout{3000};
    // Whether the queue accepts jobs without a key.
    bool open = false;
    // Starts need a placement ticket.
    std::optional<ticket_policy> tickets;

    // All fields, in order.
    auto as_tuple() const
    {
        return std::tie(name, host, path_prefix, service, priority,
                        max_attempts, stretch, slack, call_timeout, open,
                        tickets);
    }

    friend bool operator==(const queue_policy& a, const queue_policy& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const queue_policy& a, const queue_policy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
