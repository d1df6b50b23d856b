#ifndef COLTSFOOTRACK_WIRE_RELAY_REQUEST_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_RELAY_REQUEST_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::wire
{

// Asks a peer to store a job that a caller submitted to the sender, whose own
// commits the store refuses.
struct relay_request
{
    std::uint64_t nonce = 0;
    base::job_id job;
    // The encoded row; empty for the cancellation of the job.
    std::string row;
    // What the caller may cancel, encoded; empty from daemons of former
    // versions.
    std::string cancel_right;

    friend bool operator==(const relay_request& a, const relay_request& b)
    {
        return a.nonce == b.nonce && a.job == b.job && a.row == b.row &&
               a.cancel_right == b.cancel_right;
    }

    friend bool operator!=(const relay_request& a, const relay_request& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
