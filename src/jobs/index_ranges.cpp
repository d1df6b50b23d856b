// A set of indices, kept as ranges.

#include <coltsfootrack/jobs/index_ranges.hpp>

#include <algorithm>
#include <iterator>

namespace coltsfootrack::jobs
{

void index_ranges::insert(int index)
{
    insert_range(index, index);
}

void index_ranges::insert_range(int first, int last)
{
    auto next = ranges_.upper_bound(first);
    // Begins with the range before, if it touches this one.
    if (next != ranges_.begin() && std::prev(next)->second >= first - 1)
    {
        --next;
        first = next->first;
    }
    while (next != ranges_.end() && next->first <= last + 1)
    {
        last = std::max(last, next->second);
        size_ -= next->second - next->first + 1;
        next = ranges_.erase(next);
    }
    ranges_[first] = last;
    size_ += last - first + 1;
}

bool index_ranges::contains(int index) const
{
    const auto next = ranges_.upper_bound(index);
    return next != ranges_.begin() && std::prev(next)->second >= index;
}

} // namespace coltsfootrack::jobs
