#ifndef COLTSFOOTRACK_WIRE_RELAY_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_RELAY_REQUEST_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Asks a peer to store a job for a caller of the sender, which the store turns
// away.
struct relay_request
{
    std::uint64_t nonce = 0;
    base::job_id job;
    // The text to store; empty for the cancellation of the job.
    std::string row;

    friend bool operator==(const relay_request& a, const relay_request& b)
    {
        return a.nonce == b.nonce && a.job == b.job && a.row == b.row;
    }

    friend bool operator!=(const relay_request& a, const relay_request& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
