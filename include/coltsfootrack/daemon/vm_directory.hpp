#ifndef COLTSFOOTRACK_DAEMON_VM_DIRECTORY_HPP_INCLUDED
#define COLTSFOOTRACK_DAEMON_VM_DIRECTORY_HPP_INCLUDED

#include <coltsfootrack/base/id.hpp>
#include <coltsfootrack/base/resources.hpp>
#include <coltsfootrack/routing/runner.hpp>
#include <coltsfootrack/store/vm_list.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coltsfootrack::daemon
{

// The platform's VM list, indexed by role and zone. Immutable; each new list
// makes a new directory.
//
// Thread safety: all functions may be called from any thread.
class vm_directory
{
public:
    vm_directory() = default;
    explicit vm_directory(const store::vm_list& list);

    // The workers of a zone, in ascending order of names.
    const std::vector<store::vm_entry>&
    workers(const base::zone_id& zone) const;

    // The runners of each service.
    const std::map<base::service_id, std::vector<routing::runner>>&
    runners() const
    {
        return runners_;
    }

    // The entry VMs.
    const std::vector<store::vm_entry>& entries() const
    {
        return entries_;
    }

    // All zones that have a worker or an entry VM.
    const std::set<base::zone_id>& zones() const
    {
        return zones_;
    }

    // Whether the zone's workers that are not leaving could run the tasks at
    // the same time if they ran nothing else. An upper bound: it looks at each
    // worker by itself.
    bool could_hold(const base::zone_id& zone, const base::resources& per_task,
                    std::uint32_t tasks) const;

private:
    std::map<base::zone_id, std::vector<store::vm_entry>> workers_;
    std::map<base::service_id, std::vector<routing::runner>> runners_;
    std::vector<store::vm_entry> entries_;
    std::set<base::zone_id> zones_;
};

} // namespace coltsfootrack::daemon

#endif
