#ifndef COLTSFOOTRACK_STORE_VM_ENTRY_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_VM_ENTRY_HPP_INCLUDED

#include <coltsfootrack/base/resources.hpp>

#include <cstdint>
#include <string>

namespace coltsfootrack::store
{

// One VM of the platform's list.
struct vm_entry
{
    enum class vm_role
    {
        entry,
        worker,
        runner
    };

    std::string name;
    vm_role role = vm_role::entry;
    std::string zone;
    std::string region;
    std::string rack;
    // Numeric address and port.
    std::string address;
    // The VM is shutting down and must get no new work.
    bool leaving = false;
    base::resources capacity;
    // For runners: the service and the number of slots.
    std::string service;
    std::uint32_t slots = 0;

    friend bool operator==(const vm_entry& a, const vm_entry& b)
    {
        return a.name == b.name && a.role == b.role && a.zone == b.zone &&
               a.region == b.region && a.rack == b.rack &&
               a.address == b.address && a.leaving == b.leaving &&
               a.capacity == b.capacity && a.service == b.service &&
               a.slots == b.slots;
    }

    friend bool operator!=(const vm_entry& a, const vm_entry& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
