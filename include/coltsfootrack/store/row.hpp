#ifndef COLTSFOOTRACK_STORE_ROW_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_ROW_HPP_INCLUDED

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::store
{

// The sequence number of the commit that last wrote a row; 0 if it is absent.
// Versions never repeat.
using version = std::uint64_t;

// One row of the platform's table, as read.
struct row
{
    std::string key;
    store::version version = 0;
    nlohmann::json value;

    friend bool operator==(const row& a, const row& b)
    {
        return a.key == b.key && a.version == b.version && a.value == b.value;
    }

    friend bool operator!=(const row& a, const row& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
