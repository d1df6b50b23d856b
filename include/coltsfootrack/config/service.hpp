#ifndef COLTSFOOTRACK_CONFIG_SERVICE_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_SERVICE_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace coltsfootrack::config
{

// The full state of a customer-facing service whose requests are routed to
// runners.
struct service
{
    base::service_id name;
    // The teams whose keys are accepted, in ascending order. Empty if the
    // service is open.
    std::vector<base::team_id> teams;
    // Whether requests need no key; see also queue.
    bool open = false;
    // The queue that it belongs to, or empty.
    std::string queue;
    // Whether a request may be retried when its outcome is unknown.
    bool idempotent = false;
    // The time limit for a complete response, 1 ms to 10 minutes.
    std::chrono::milliseconds timeout{0};
    // The largest request body, up to 64 MiB.
    std::uint32_t body_limit_bytes = 0;
    // A deleted service is not found; its row stays as a tombstone.
    bool deleted = false;

    // Whether requests with a key of the team are accepted.
    bool accepts(const base::team_id& presenter) const
    {
        return open ||
               std::binary_search(teams.begin(), teams.end(), presenter);
    }

    // All fields, for comparison.
    auto as_tuple() const
    {
        return std::tie(name, teams, open, queue, idempotent, timeout,
                        body_limit_bytes, deleted);
    }

    friend bool operator==(const service& a, const service& b)
    {
        return a.as_tuple() == b.as_tuple();
    }

    friend bool operator!=(const service& a, const service& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::config

#endif
