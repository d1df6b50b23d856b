// Names of enumerators for answers, log lines and metric labels.

#include <coltsfootrack/placement/job_state.hpp>
#include <coltsfootrack/placement/stop_reason.hpp>

namespace coltsfootrack::placement
{

std::string_view name_of(stop_reason reason)
{
    switch (reason)
    {
    case stop_reason::none:
        return "none";
    case stop_reason::cancelled:
        return "cancelled";
    case stop_reason::condemned:
        return "condemned";
    case stop_reason::preempted:
        return "preempted";
    case stop_reason::worker_leaving:
        return "worker_leaving";
    case stop_reason::over_slice:
        return "over_slice";
    case stop_reason::over_size:
        return "over_size";
    case stop_reason::overran:
        return "overran";
    case stop_reason::gang_broken:
        return "gang_broken";
    case stop_reason::duplicate:
        return "duplicate";
    }
    return "unknown";
}

std::string_view name_of(job_state state)
{
    switch (state)
    {
    case job_state::unknown:
        return "unknown";
    case job_state::waiting:
        return "waiting";
    case job_state::running:
        return "running";
    case job_state::ending:
        return "ending";
    }
    return "unknown";
}

} // namespace coltsfootrack::placement
