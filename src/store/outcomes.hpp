#ifndef COLTSFOOTRACK_STORE_OUTCOMES_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_OUTCOMES_HPP_INCLUDED

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/commit_outcome.hpp>

#include <string>
#include <utility>
#include <vector>

namespace coltsfootrack::store
{

// Factories of the outcomes that a commit stream reports.

inline commit_outcome failed(base::error_kind reason)
{
    return {commit_outcome::result::failed, 0, {}, reason};
}

inline commit_outcome unknown()
{
    return {commit_outcome::result::unknown,
            0,
            {},
            base::error_kind::outcome_unknown};
}

inline commit_outcome committed(version sequence)
{
    return {commit_outcome::result::committed,
            sequence,
            {},
            base::error_kind::internal};
}

inline commit_outcome conflict(std::vector<std::string> keys)
{
    return {commit_outcome::result::conflict, 0, std::move(keys),
            base::error_kind::store_conflict};
}

} // namespace coltsfootrack::store

#endif
