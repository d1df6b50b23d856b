// The queue of one team and tier.

#include "tier_queue.hpp"

namespace coltsfootrack::placement
{

void tier_queue::add(const shape_key& key, std::uint64_t sequence, handle job)
{
    std::unique_ptr<shape_group>& group = groups_[key];
    if (!group)
    {
        group = std::make_unique<shape_group>();
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

void tier_queue::remove(const shape_key& key, std::uint64_t sequence)
{
    const auto found = groups_.find(key);
    if (found == groups_.end() || found->second->jobs.count(sequence) == 0)
    {
        return;
    }
    shape_group& group = *found->second;
    heads_.erase(group.jobs.begin()->first);
    group.jobs.erase(sequence);
    --jobs_;
    if (group.jobs.empty())
    {
        groups_.erase(found);
        return;
    }
    heads_.emplace(group.jobs.begin()->first, &group);
}

} // namespace coltsfootrack::placement
