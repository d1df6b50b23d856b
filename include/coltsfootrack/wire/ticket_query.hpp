#ifndef COLTSFOOTRACK_WIRE_TICKET_QUERY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_TICKET_QUERY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace coltsfootrack::wire
{

// Asks a peer to request placement tickets. Each daemon may have one request in
// flight, so the leader distributes them.
struct ticket_query
{
    std::uint64_t nonce = 0;
    // Identifies the step; see jobs::step_key.
    base::job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    // The timeout of the request.
    std::chrono::milliseconds limit{0};
    std::vector<base::worker_id> workers;

    friend bool operator==(const ticket_query& a, const ticket_query& b)
    {
        return a.nonce == b.nonce && a.job == b.job &&
               a.occurrence == b.occurrence && a.step == b.step &&
               a.limit == b.limit && a.workers == b.workers;
    }

    friend bool operator!=(const ticket_query& a, const ticket_query& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
