#ifndef COLTSFOOTRACK_PLACEMENT_SLAB_HPP_INCLUDED
#define COLTSFOOTRACK_PLACEMENT_SLAB_HPP_INCLUDED

#include "handle.hpp"

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace coltsfootrack::placement
{

// A table whose records keep their handle and address until they are erased.
// Memory of erased records is reused and never freed.
//
// Thread safety: none.
template <class Record>
class slab
{
public:
    handle insert(Record record)
    {
        if (free_.empty())
        {
            records_.push_back(std::move(record));
            return static_cast<handle>(records_.size() - 1);
        }
        const handle index = free_.back();
        free_.pop_back();
        records_[index] = std::move(record);
        return index;
    }

    void erase(handle index)
    {
        records_[index] = Record();
        free_.push_back(index);
    }

    Record& operator[](handle index)
    {
        return records_[index];
    }

    const Record& operator[](handle index) const
    {
        return records_[index];
    }

    // One past the highest handle ever returned.
    handle end() const
    {
        return static_cast<handle>(records_.size());
    }

    // The number of records.
    std::size_t size() const
    {
        return records_.size() - free_.size();
    }

private:
    std::deque<Record> records_;
    std::vector<handle> free_;
};

} // namespace coltsfootrack::placement

#endif
