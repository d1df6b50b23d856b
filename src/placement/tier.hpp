#ifndef COLTSFOOTRACK_PLACEMENT_TIER_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TIER_HPP_INCLUDED

#include <coltsfootrack/placement/job_spec.hpp>

#include <cstddef>

namespace coltsfootrack::placement
{

// The scheduling priorities, highest first.
enum class tier
{
    urgent,
    service,
    batch
};

constexpr std::size_t tier_count = 3;

inline tier tier_of(const job_spec& job)
{
    if (job.urgent)
    {
        return tier::urgent;
    }
    return job.kind == job_kind::service ? tier::service : tier::batch;
}

} // namespace coltsfootrack::placement

#endif
