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
// Memory of erased records is used again and never returned.
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
        const handle place = free_.back();
        free_.pop_back();
        records_[place] = std::move(record);
        return place;
    }

    void erase(handle place)
    {
        records_[place] = Record();
        free_.push_back(place);
    }

    Record& operator[](handle place)
    {
        return records_[place];
    }

    const Record& operator[](handle place) const
    {
        return records_[place];
    }

    // One more than the highest handle ever given out.
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
