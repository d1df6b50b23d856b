// Indexes the platform's VM list by role and zone.

#include <coltsfootrack/daemon/vm_directory.hpp>

#include <algorithm>
#include <limits>

namespace coltsfootrack::daemon
{
namespace
{

routing::runner make_runner(const store::vm_entry& vm)
{
    return {base::runner_id(vm.name),
            base::zone_id(vm.zone),
            base::region_id(vm.region),
            vm.address,
            vm.slots,
            vm.leaving ? routing::runner_state::leaving
                       : routing::runner_state::live};
}

// How many tasks of the size fit into the capacity.
std::int64_t count_fitting(const base::resources& capacity,
                           const base::resources& size)
{
    auto ratio = [](std::int64_t have, std::int64_t need)
    {
        return need <= 0 ? std::numeric_limits<std::int32_t>::max()
                         : have / need;
    };
    return std::min({ratio(capacity.cpu_milli, size.cpu_milli),
                     ratio(capacity.memory_mb, size.memory_mb),
                     ratio(capacity.accelerators, size.accelerators)});
}

} // namespace

vm_directory::vm_directory(const store::vm_list& list)
{
    for (const store::vm_entry& vm : list.vms)
    {
        const base::zone_id zone(vm.zone);
        switch (vm.role)
        {
        case store::vm_entry::vm_role::entry:
            entries_.push_back(vm);
            zones_.insert(zone);
            break;
        case store::vm_entry::vm_role::worker:
            workers_[zone].push_back(vm);
            zones_.insert(zone);
            break;
        case store::vm_entry::vm_role::runner:
            runners_[base::service_id(vm.service)].push_back(make_runner(vm));
            break;
        }
    }
}

const std::vector<store::vm_entry>&
vm_directory::workers(const base::zone_id& zone) const
{
    static const std::vector<store::vm_entry> none;
    const auto found = workers_.find(zone);
    return found == workers_.end() ? none : found->second;
}

bool vm_directory::could_hold(const base::zone_id& zone,
                              const base::resources& per_task,
                              std::uint32_t tasks) const
{
    std::int64_t room = 0;
    for (const store::vm_entry& vm : workers(zone))
    {
        if (!vm.leaving)
        {
            room += count_fitting(vm.capacity, per_task);
        }
    }
    return room >= tasks;
}

} // namespace coltsfootrack::daemon
