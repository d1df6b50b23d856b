#ifndef COLTSFOOTRACK_STORE_WRITE_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_WRITE_HPP_INCLUDED

#include <nlohmann/json.hpp>
#include <string>

namespace coltsfootrack::store
{

// The new value of a row; null deletes it.
struct write
{
    std::string key;
    nlohmann::json value;

    friend bool operator==(const write& a, const write& b)
    {
        return a.key == b.key && a.value == b.value;
    }

    friend bool operator!=(const write& a, const write& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
