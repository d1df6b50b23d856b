#ifndef COLTSFOOTRACK_WIRE_JOB_COPY_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_JOB_COPY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

#include <string>

namespace coltsfootrack::wire
{

// Sends the leader a job that the sender has stored.
struct job_copy
{
    base::job_id job;
    // The encoded row; see jobs::decode_submission.
    std::string row;

    friend bool operator==(const job_copy& a, const job_copy& b)
    {
        return a.job == b.job && a.row == b.row;
    }

    friend bool operator!=(const job_copy& a, const job_copy& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
