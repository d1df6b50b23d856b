#ifndef COLTSFOOTRACK_STORE_CONDITION_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_CONDITION_HPP_INCLUDED

#include <coltsfootrack/store/row.hpp>

#include <string>

namespace coltsfootrack::store
{

// The version that a row must have for a commit to apply; 0 if it must be
// absent.
struct condition
{
    std::string key;
    store::version version = 0;

    friend bool operator==(const condition& a, const condition& b)
    {
        return a.key == b.key && a.version == b.version;
    }

    friend bool operator!=(const condition& a, const condition& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
