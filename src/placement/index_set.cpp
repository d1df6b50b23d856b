// Operations on sorted ranges of task indexes.

#include "index_set.hpp"

#include <algorithm>

namespace coltsfootrack::placement
{
namespace
{

using range = std::pair<std::uint32_t, std::uint32_t>;

// Orders an index before the ranges that begin after it.
bool begins_after(std::uint32_t index, const range& candidate)
{
    return index < candidate.first;
}

} // namespace

index_set::index_set(std::uint32_t count)
    : size_(count)
{
    if (count > 0)
    {
        ranges_.emplace_back(0, count);
    }
}

bool index_set::contains(std::uint32_t index) const
{
    const auto next =
        std::upper_bound(ranges_.begin(), ranges_.end(), index, begins_after);
    return next != ranges_.begin() && index < std::prev(next)->second;
}

void index_set::insert(std::uint32_t index)
{
    if (contains(index))
    {
        return;
    }
    ++size_;
    const auto next =
        std::upper_bound(ranges_.begin(), ranges_.end(), index, begins_after);
    const bool joins_next = next != ranges_.end() && next->first == index + 1;
    const bool joins_previous =
        next != ranges_.begin() && std::prev(next)->second == index;
    if (joins_next && joins_previous)
    {
        std::prev(next)->second = next->second;
        ranges_.erase(next);
    }
    else if (joins_next)
    {
        next->first = index;
    }
    else if (joins_previous)
    {
        std::prev(next)->second = index + 1;
    }
    else
    {
        ranges_.insert(next, {index, index + 1});
    }
}

void index_set::erase(std::uint32_t index)
{
    if (!contains(index))
    {
        return;
    }
    --size_;
    const auto containing = std::prev(
        std::upper_bound(ranges_.begin(), ranges_.end(), index, begins_after));
    const range old = *containing;
    if (old.first == index)
    {
        if (++containing->first == containing->second)
        {
            ranges_.erase(containing);
        }
        return;
    }
    containing->second = index;
    if (index + 1 < old.second)
    {
        ranges_.insert(std::next(containing), {index + 1, old.second});
    }
}

void index_set::clear()
{
    ranges_.clear();
    size_ = 0;
}

} // namespace coltsfootrack::placement
