#ifndef COLTSFOOTRACK_STORE_MUTATION_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_MUTATION_HPP_INCLUDED

#include <coltsfootrack/store/condition.hpp>
#include <coltsfootrack/store/write.hpp>

#include <cstddef>
#include <vector>

namespace coltsfootrack::store
{

// An atomic change of the table.
//
//     mutation change;
//     change.require("idem/t1/k", 0).put("idem/t1/k", {{"state", "claimed"}});
//
// Limits: see table_options. A key may occur once among the conditions and once
// among the writes. The daemon's own session row must not occur.
struct mutation
{
    std::vector<condition> conditions;
    std::vector<write> writes;

    // Adds a condition; version 0 means that the row must be absent.
    mutation& require(std::string key, version expected);

    // Adds a write.
    mutation& put(std::string key, nlohmann::json value);

    // Adds a deletion.
    mutation& erase(std::string key);

    // An upper bound of its size in a commit, in bytes.
    std::size_t size_bytes() const;

    friend bool operator==(const mutation& a, const mutation& b)
    {
        return a.conditions == b.conditions && a.writes == b.writes;
    }

    friend bool operator!=(const mutation& a, const mutation& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
