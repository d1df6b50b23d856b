// Groups the waiting jobs of one team and tier by equivalence class.

#include "tier_queue.hpp"

namespace coltsfootrack::placement
{

void tier_queue::add(const equivalence_key& key, std::uint64_t sequence,
                     handle job)
{
    std::unique_ptr<equivalence_class>& group = classes_[key];
    if (!group)
    {
        group = std::make_unique<equivalence_class>();
        group->key = key;
    }
    else
    {
        heads_.erase(group->jobs.begin()->first);
    }
    group->jobs.emplace(sequence, job);
    heads_.emplace(group->jobs.begin()->first, group.get());
    ++jobs_;
}

void tier_queue::remove(const equivalence_key& key, std::uint64_t sequence)
{
    const auto found = classes_.find(key);
    if (found == classes_.end() || found->second->jobs.count(sequence) == 0)
    {
        return;
    }
    equivalence_class& group = *found->second;
    heads_.erase(group.jobs.begin()->first);
    group.jobs.erase(sequence);
    --jobs_;
    if (group.jobs.empty())
    {
        classes_.erase(found);
        return;
    }
    heads_.emplace(group.jobs.begin()->first, &group);
}

} // namespace coltsfootrack::placement
