#ifndef COLTSFOOTRACK_WIRE_STATE_QUERY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_STATE_QUERY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>

namespace coltsfootrack::wire
{

// Asks the leader for the state of a job.
struct state_query
{
    std::uint64_t nonce = 0;
    base::job_id job;

    friend bool operator==(const state_query& a, const state_query& b)
    {
        return a.nonce == b.nonce && a.job == b.job;
    }

    friend bool operator!=(const state_query& a, const state_query& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
