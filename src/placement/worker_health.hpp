#ifndef COLTSFOOTRACK_PLACEMENT_WORKER_HEALTH_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_WORKER_HEALTH_HPP_INCLUDED

namespace coltsfootrack::placement
{

// Whether a worker is trusted with tasks.
enum class worker_health
{
    healthy,
    // Gets no task until the quarantine ends.
    quarantined,
    // Gets one ordinary batch task at a time.
    probation
};

} // namespace coltsfootrack::placement

#endif
