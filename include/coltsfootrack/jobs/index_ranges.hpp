#ifndef COLTSFOOTRACK_JOBS_INDEX_RANGES_HPP_INCLUDED
#define COLTSFOOTRACK_JOBS_INDEX_RANGES_HPP_INCLUDED

#include <map>

namespace coltsfootrack::jobs
{

// A set of indices, kept as ranges. Its size grows with the number of gaps, not
// of indices, so that work which ends roughly in order takes little room.
class index_ranges
{
public:
    // Adds an index; no effect if it is there.
    void insert(int index);

    // Adds all indices from `first` to `last`, both included.
    void insert_range(int first, int last);

    bool contains(int index) const;

    // The number of indices.
    int size() const
    {
        return size_;
    }

    bool empty() const
    {
        return size_ == 0;
    }

    // The first and last index of each range, ascending. No two of them touch.
    const std::map<int, int>& ranges() const
    {
        return ranges_;
    }

    friend bool operator==(const index_ranges& a, const index_ranges& b)
    {
        return a.ranges_ == b.ranges_;
    }

    friend bool operator!=(const index_ranges& a, const index_ranges& b)
    {
        return !(a == b);
    }

private:
    std::map<int, int> ranges_;
    int size_ = 0;
};

} // namespace coltsfootrack::jobs

#endif
