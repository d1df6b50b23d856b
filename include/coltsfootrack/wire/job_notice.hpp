#ifndef COLTSFOOTRACK_WIRE_JOB_NOTICE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_JOB_NOTICE_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>

namespace coltsfootrack::wire
{

// Tells the owner of a zone that a job row was written for it.
struct job_notice
{
    base::zone_id zone;
    base::job_id job;

    friend bool operator==(const job_notice& a, const job_notice& b)
    {
        return a.zone == b.zone && a.job == b.job;
    }

    friend bool operator!=(const job_notice& a, const job_notice& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::wire

#endif
