#ifndef COLTSFOOTRACK_PLACEMENT_TIER_QUEUE_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_TIER_QUEUE_HPP_INCLUDED

#include "equivalence_class.hpp"
#include "equivalence_key.hpp"
#include "handle.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace coltsfootrack::placement
{

// The waiting jobs of one team in one tier, grouped into equivalence classes. A
// step tries only the oldest job of each class, so its work does not grow with
// the length of the queue.
//
// Thread safety: none.
class tier_queue
{
public:
    void add(const equivalence_key& key, std::uint64_t sequence, handle job);
    void remove(const equivalence_key& key, std::uint64_t sequence);

    bool empty() const
    {
        return jobs_ == 0;
    }

    std::size_t jobs() const
    {
        return jobs_;
    }

    // The classes by the sequence number of their oldest job.
    const std::map<std::uint64_t, equivalence_class*>& heads() const
    {
        return heads_;
    }

private:
    absl::flat_hash_map<equivalence_key, std::unique_ptr<equivalence_class>>
        classes_;
    std::map<std::uint64_t, equivalence_class*> heads_;
    std::size_t jobs_ = 0;
};

} // namespace coltsfootrack::placement

#endif
