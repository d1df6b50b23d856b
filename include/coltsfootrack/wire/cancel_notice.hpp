#ifndef COLTSFOOTRACK_WIRE_CANCEL_NOTICE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_CANCEL_NOTICE_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

namespace coltsfootrack::wire
{

// Tells the leader that the cancellation of a job has been stored.
struct cancel_notice
{
    base::job_id job;

    friend bool operator==(const cancel_notice& a, const cancel_notice& b)
    {
        return a.job == b.job;
    }

    friend bool operator!=(const cancel_notice& a, const cancel_notice& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
