#ifndef COLTSFOOTRACK_PLACEMENT_INDEX_SET_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_INDEX_SET_HPP_INCLUDED

#include <cstdint>
#include <utility>
#include <vector>

namespace coltsfootrack::placement
{

// A set of task indexes, stored as sorted ranges, so that a queued job of any
// size takes a few bytes.
//
// Thread safety: none.
class index_set
{
public:
    index_set() = default;

    // The indexes from 0 to count - 1.
    explicit index_set(std::uint32_t count);

    bool empty() const
    {
        return size_ == 0;
    }

    std::uint32_t size() const
    {
        return size_;
    }

    bool contains(std::uint32_t index) const;

    // The lowest index; the set must not be empty.
    std::uint32_t lowest() const
    {
        return ranges_.front().first;
    }

    // Adds an index; has no effect if it is in the set.
    void insert(std::uint32_t index);

    // Removes an index; has no effect if it is not in the set.
    void erase(std::uint32_t index);

    void clear();

private:
    // Half-open, disjoint, not adjacent.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges_;
    std::uint32_t size_ = 0;
};

} // namespace coltsfootrack::placement

#endif
