#ifndef COLTSFOOTRACK_STORE_VM_LIST_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_VM_LIST_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>
#include <coltsfootrack/store/vm_entry.hpp>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace coltsfootrack::store
{

// A snapshot of the platform's list of VMs, ordered by name.
struct vm_list
{
    // When the list was requested. Its content may be up to 5 s older.
    base::time_point sent_at;
    std::vector<vm_entry> vms;
};

// Parses the answer to GET /v1/vms; peer_protocol if it is malformed, has a
// duplicate name, or has more than 10,000 entries. Unknown fields are ignored.
absl::StatusOr<vm_list> parse_vm_list(const nlohmann::json& body,
                                      base::time_point sent_at);

} // namespace coltsfootrack::store

#endif
