#ifndef COLTSFOOTRACK_STORE_COMMIT_ANSWER_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_COMMIT_ANSWER_HPP_INCLUDED

#include <coltsfootrack/store/row.hpp>

#include <string>
#include <vector>

namespace coltsfootrack::store
{

// What is known about one commit after the call.
struct commit_answer
{
    enum class result
    {
        // It applied.
        committed,
        // It did not apply; the failed keys are named.
        conflict,
        // The platform refused its form or size; it did not apply.
        refused,
        // Nothing was sent.
        not_sent,
        // It may have applied, or may apply later.
        lost
    };

    commit_answer::result result = result::lost;
    // For committed: the sequence number of the commit.
    store::version sequence = 0;
    // For conflict: the keys whose versions differ.
    std::vector<std::string> failed;
};

} // namespace coltsfootrack::store

#endif
