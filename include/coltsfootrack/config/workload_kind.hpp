#ifndef COLTSFOOTRACK_CONFIG_WORKLOAD_KIND_HPP_INCLUDED
#define COLTSFOOTRACK_CONFIG_WORKLOAD_KIND_HPP_INCLUDED

namespace coltsfootrack::config
{

// How the tasks of a workload run.
enum class workload_kind
{
    // Tasks run until they are stopped, and are kept alive.
    service,
    // Tasks are independent and each one ends.
    batch,
    // All tasks start together or none does.
    gang
};

} // namespace coltsfootrack::config

#endif
