#ifndef COLTSFOOTRACK_PLACEMENT_TIER_QUEUE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TIER_QUEUE_HPP_INCLUDED

#include "handle.hpp"
#include "shape_group.hpp"
#include "shape_key.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace coltsfootrack::placement
{

// The waiting jobs of one team in one tier, grouped by what they need. A step
// looks at the oldest job of each group instead of at every job, so its work
// does not grow with the length of the queue.
//
// Thread safety: none.
class tier_queue
{
public:
    void add(const shape_key& key, std::uint64_t sequence, handle job);
    void remove(const shape_key& key, std::uint64_t sequence);

    bool empty() const
    {
        return jobs_ == 0;
    }

    std::size_t jobs() const
    {
        return jobs_;
    }

    // The groups by the sequence number of their oldest job.
    const std::map<std::uint64_t, shape_group*>& heads() const
    {
        return heads_;
    }

private:
    absl::flat_hash_map<shape_key, std::unique_ptr<shape_group>> groups_;
    std::map<std::uint64_t, shape_group*> heads_;
    std::size_t jobs_ = 0;
};

} // namespace coltsfootrack::placement

#endif
