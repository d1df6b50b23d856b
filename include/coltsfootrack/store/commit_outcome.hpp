#ifndef COLTSFOOTRACK_STORE_COMMIT_OUTCOME_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_COMMIT_OUTCOME_HPP_INCLUDED

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/store/row.hpp>

#include <string>
#include <vector>

namespace coltsfootrack::store
{

// The outcome of a mutation.
struct commit_outcome
{
    enum class result
    {
        // It applied.
        committed,
        // It did not apply and never will: conditions did not hold.
        conflict,
        // It did not apply and never will, for another reason.
        failed,
        // It may have applied. One of the other results follows, unless the
        // client is stopped or the session row, which would prove it, was
        // replaced more than once.
        unknown
    };

    commit_outcome::result result = result::unknown;
    // For committed: the version of all rows that the mutation wrote; 0 if it
    // is not known because the session was fenced after the commit.
    store::version version = 0;
    // For conflict: the keys of the conditions that did not hold.
    std::vector<std::string> conflicts;
    // For failed: store_unavailable, fenced, draining or
    // invalid_request. store_conflict for conflict, outcome_unknown for
    // unknown; not meaningful for committed.
    base::error_kind reason = base::error_kind::store_unavailable;

    bool committed() const
    {
        return result == result::committed;
    }

    // Whether no further outcome of the same mutation will be reported.
    bool final() const
    {
        return result != result::unknown;
    }

    friend bool operator==(const commit_outcome& a, const commit_outcome& b)
    {
        return a.result == b.result && a.version == b.version &&
               a.conflicts == b.conflicts && a.reason == b.reason;
    }

    friend bool operator!=(const commit_outcome& a, const commit_outcome& b)
    {
        return !(a == b);
    }
};

} // namespace coltsfootrack::store

#endif
