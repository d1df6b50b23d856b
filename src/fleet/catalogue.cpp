// Lookup of queues and teams.

#include <coltsfootrack/fleet/catalogue.hpp>

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

namespace coltsfootrack::fleet
{
namespace
{

bool same_host(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

} // namespace

const queue_policy* catalogue::route(std::string_view host,
                                     std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const queue_policy* best = nullptr;
    for (const auto& [key, queue] : queues)
    {
        const bool longer = best == nullptr ||
                            queue.path_prefix.size() > best->path_prefix.size();
        if (longer &&
            path.substr(0, queue.path_prefix.size()) == queue.path_prefix &&
            same_host(name, queue.host))
        {
            best = &queue;
        }
    }
    return best;
}

const base::team_id* catalogue::team_of(std::string_view key) const
{
    const auto found = keys.find(key);
    return found == keys.end() ? nullptr : &found->second;
}

const queue_policy* catalogue::queue(const std::string& name) const
{
    const auto found = queues.find(name);
    return found == queues.end() ? nullptr : &found->second;
}

const team_policy* catalogue::team(const base::team_id& id) const
{
    const auto found = teams.find(id);
    return found == teams.end() ? nullptr : &found->second;
}

} // namespace coltsfootrack::fleet
