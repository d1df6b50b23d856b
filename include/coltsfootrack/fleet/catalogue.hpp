#ifndef COLTSFOOTRACK_FLEET_CATALOGUE_HPP_INCLUDED
#define COLTSFOOTRACK_FLEET_CATALOGUE_HPP_INCLUDED

#include <coltsfootrack/fleet/queue_policy.hpp>
#include <coltsfootrack/fleet/service_policy.hpp>
#include <coltsfootrack/fleet/team_policy.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace coltsfootrack::fleet
{

// One version of the configuration that operators control: queues, services,
// teams and their keys. Immutable once published, and shared between threads.
struct catalogue
{
    // Increases with every change; versions are not consecutive.
    std::uint64_t version = 0;
    std::map<std::string, queue_policy> queues;
    std::map<base::service_id, service_policy> services;
    std::map<base::team_id, team_policy> teams;
    // The team of each valid key.
    std::map<std::string, base::team_id, std::less<>> keys;
    // The document that this was parsed from, forwarded to daemons that cannot
    // read the store themselves.
    std::string source;

    // The queue of the host with the longest matching path prefix, or null.
    // The port is ignored, and the host compared without regard to case.
    const queue_policy* route(std::string_view host,
                              std::string_view path) const;

    // The team of a key, or null.
    const base::team_id* team_of(std::string_view key) const;

    const queue_policy* queue(const std::string& name) const;

    const team_policy* team(const base::team_id& id) const;

    friend bool operator==(const catalogue& a, const catalogue& b)
    {
        return a.version == b.version && a.queues == b.queues &&
               a.services == b.services && a.teams == b.teams &&
               a.keys == b.keys;
    }

    friend bool operator!=(const catalogue& a, const catalogue& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::fleet

#endif
